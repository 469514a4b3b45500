/**
 * Results that nobody needs any more, until they are given back at the upstreams that made them.
 */
import type { PlannedFree } from './plannedCall.ts'
import type { PieceResult } from './preparationJob.ts'

/** Results of one upstream. */
class UpstreamFrees {
  readonly handles: string[] = []
  bytes = 0
}

export class PendingFrees {
  private readonly _byUpstream = new Map<string, UpstreamFrees>()

  get isEmpty (): boolean {
    return this._byUpstream.size === 0
  }

  add (result: PieceResult, bytes: number): void {
    const frees = this._byUpstream.get(result.upstreamId) ?? new UpstreamFrees()
    this._byUpstream.set(result.upstreamId, frees)
    frees.handles.push(result.handle)
    frees.bytes += bytes
  }

  /** The upstream is gone, and its results with it. */
  drop (upstreamId: string): void {
    this._byUpstream.delete(upstreamId)
  }

  /** All that is to be given back since the last time. */
  take (): readonly PlannedFree[] {
    const frees = [...this._byUpstream].map(([upstreamId, { handles, bytes }]) => ({ upstreamId, handles, bytes }))
    this._byUpstream.clear()
    return frees
  }
}
