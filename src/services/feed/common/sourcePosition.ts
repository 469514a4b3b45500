/**
 * Places in the history of a source, as numbers that only grow. A source numbers its changes; when it is restored from a
 * copy it gives out numbers again, in the next era. Joined into one number the two are compared, kept and sent alike.
 */

/** A source with a thousand changes a second gives out so many revisions in two years. */
const REVISIONS_PER_ERA = 2 ** 36
export const MAX_REVISION = REVISIONS_PER_ERA - 1
/** Positions stay exact: 16 bits of era and 36 of revision. */
export const MAX_ERA = 2 ** 16 - 1

/** A source that tells no era is in the first one, where positions are revisions. */
export function createPosition (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

export function readEra (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA)
}

export function readRevision (position: number): number {
  return position % REVISIONS_PER_ERA
}

/** For logs and people. */
export function formatPosition (position: number): string {
  const era = readEra(position)
  return era === 0 ? String(position) : `${era}:${readRevision(position)}`
}
