/**
 * Decides what happens to a request that arrives while earlier ones of its connection are not answered.
 */

export interface PipelineState {
  /** Requests of the connection that were read and whose answers are not written, without this one. */
  readonly openCount: number
  /** Those of them that are being handled. */
  readonly activeCount: number
  /** Whether requests use a large part of what the process can bear. */
  readonly isUnderPressure: boolean
}

/** With more open requests, the connection closes after their answers. */
export const MAX_OPEN_REQUESTS = 64
/** Requests of one connection that are handled at a time; the others wait. */
const MAX_ACTIVE_REQUESTS = 8

/** Whether the connection reads no further request. */
export function isPipelineFull ({ openCount }: Pick<PipelineState, 'openCount'>): boolean {
  return openCount >= MAX_OPEN_REQUESTS
}

/** Whether a further request of the connection may be handled now. Under pressure each connection has one at a time. */
export function mayStartRequest ({ activeCount, isUnderPressure }: Omit<PipelineState, 'openCount'>): boolean {
  return activeCount < (isUnderPressure ? 1 : MAX_ACTIVE_REQUESTS)
}
