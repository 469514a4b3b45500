/**
 * Results that are no longer needed, until they are freed at the upstreams that hold them.
 */
import type { PlannedFree } from './plannedCall.ts'
import type { PieceResult } from './preparationJob.ts'

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

  discard (upstreamId: string): void {
    this._byUpstream.delete(upstreamId)
  }

  /** Returns all pending results by upstream, and clears them. */
  dequeueAll (): readonly PlannedFree[] {
    const frees = [...this._byUpstream].map(([upstreamId, { handles, bytes }]) => ({ upstreamId, handles, bytes }))
    this._byUpstream.clear()
    return frees
  }
}
