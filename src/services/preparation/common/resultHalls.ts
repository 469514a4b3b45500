/**
 * Finds the halls that hold the results for a request.
 */
import type { JobState } from './jobState.ts'
import type { PieceResult } from './preparationJob.ts'

/** Returns the hall of an upstream; undefined if the upstream is unknown. */
export type FindHall = (upstreamId: string) => string | undefined

/** Sums the bytes of the computed results that the request needs, by hall. */
export function sumBytesByHall (state: JobState, findHall: FindHall): ReadonlyMap<string, number> {
  const sums = new Map<string, number>()
  for (const stage of state.lastStages) {
    const bytes = state.job.stages[stage]?.resultBytes ?? 0
    for (const { result } of state.pieces[stage] ?? []) {
      const hall = result === undefined ? undefined : findHall(result.upstreamId)
      if (hall !== undefined) sums.set(hall, (sums.get(hall) ?? 0) + bytes)
    }
  }
  return sums
}

/** Returns the hall that holds most of the results. */
export function findMainHall (results: readonly PieceResult[], findHall: FindHall): string {
  const counts = new Map<string, number>()
  for (const { upstreamId } of results) {
    const hall = findHall(upstreamId) ?? ''
    counts.set(hall, (counts.get(hall) ?? 0) + 1)
  }
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? ''
}
