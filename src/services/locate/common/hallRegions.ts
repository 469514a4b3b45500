/**
 * Maps halls to regions, and home regions of routes and customers to the halls that they allow.
 */

export class HallRegions {
  private readonly _regionsByHall: ReadonlyMap<string, string>

  constructor (regions: Readonly<Record<string, string>> = {}) {
    this._regionsByHall = new Map(Object.entries(regions))
  }

  /** Returns undefined for a hall that is not in the settings. */
  findRegion (hall: string): string | undefined {
    return this._regionsByHall.get(hall)
  }

  /** Returns the halls whose region is in every non-empty list, or undefined (no restriction) if all lists are empty. */
  listHomeHalls (...homeRegionLists: readonly (readonly string[])[]): readonly string[] | undefined {
    const restrictions = homeRegionLists.filter(regions => regions.length > 0)
    if (restrictions.length === 0) return undefined
    return [...this._regionsByHall].filter(([, region]) => restrictions.every(regions => regions.includes(region))).map(([hall]) => hall)
  }

  /** Returns those of the given regions that have no hall. */
  listUnknownRegions (regions: readonly string[]): readonly string[] {
    const knownRegions = new Set(this._regionsByHall.values())
    return regions.filter(region => !knownRegions.has(region))
  }
}
