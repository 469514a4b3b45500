/**
 * The region of each hall, and what home regions of routes and customers allow.
 */

export class HallRegions {
  private readonly _byHall: ReadonlyMap<string, string>

  constructor (regions: Readonly<Record<string, string>> = {}) {
    this._byHall = new Map(Object.entries(regions))
  }

  /** Undefined for a hall that the settings do not name. */
  findRegion (hall: string): string | undefined {
    return this._byHall.get(hall)
  }

  /** The halls of the regions that are home by every list; undefined where none of them names any. */
  listHomeHalls (...homes: readonly (readonly string[])[]): readonly string[] | undefined {
    const binding = homes.filter(regions => regions.length > 0)
    if (binding.length === 0) return undefined
    return [...this._byHall].filter(([, region]) => binding.every(regions => regions.includes(region))).map(([hall]) => hall)
  }

  /** Regions among these that no hall lies in. */
  listUnknown (regions: readonly string[]): readonly string[] {
    const known = new Set(this._byHall.values())
    return regions.filter(region => !known.has(region))
  }
}
