/**
 * Where the results lie that a request takes.
 */
import type { JobState } from './jobState.ts'
import type { PieceResult } from './preparationJob.ts'

/** The hall of an upstream, if it is known. */
export type FindHall = (upstreamId: string) => string | undefined

/** Bytes of a request's results that are made already, by hall. */
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

/** The hall that most of the results are in. */
export function findMainHall (results: readonly PieceResult[], findHall: FindHall): string {
  const counts = new Map<string, number>()
  for (const { upstreamId } of results) {
    const hall = findHall(upstreamId) ?? ''
    counts.set(hall, (counts.get(hall) ?? 0) + 1)
  }
  return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0] ?? ''
}
