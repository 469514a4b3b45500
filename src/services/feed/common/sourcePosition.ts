/**
 * Positions in the history of a source, as numbers that only increase. A source numbers its changes with revisions; after a
 * restore from a backup it reuses revisions in the next era. Era and revision are combined into one number, so that they are
 * compared, stored and sent together.
 */

/** A source with 1,000 changes per second uses this many revisions in two years. */
const REVISIONS_PER_ERA = 2 ** 36
export const MAX_REVISION = REVISIONS_PER_ERA - 1
/** 16 bits of era and 36 bits of revision: positions remain safe integers. */
export const MAX_ERA = 2 ** 16 - 1

/** A source that reports no era is in era 0, where positions equal revisions. */
export function createPosition (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

export function readEra (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA)
}

export function readRevision (position: number): number {
  return position % REVISIONS_PER_ERA
}

/** Formats a position for logs. */
export function formatPosition (position: number): string {
  const era = readEra(position)
  return era === 0 ? String(position) : `${era}:${readRevision(position)}`
}
