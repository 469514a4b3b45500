/**
 * Counts what an upstream that may be cold was granted since it last proved to be warm. It may become cold at any moment, so
 * everything granted after the last proof may be too much for it.
 */
import { ARRIVAL_WINDOW_S } from './rateLimitSource.ts'

const MS_PER_S = 1000
const WINDOW_MS = ARRIVAL_WINDOW_S * MS_PER_S
/** A request may reach its upstream this long after it was granted, and thus after a proof that was requested later. */
export const ARRIVAL_DELAY_MS = 50

interface GrantHistory {
  /** Grants within the arrival window that no proof covers, oldest first, in milliseconds on this process's clock. */
  readonly grantedAt: readonly number[]
  /** When the last proof was requested: the upstream was warm then or later. */
  readonly provenAt: number
}

const NO_GRANTS: GrantHistory = { grantedAt: [], provenAt: -Infinity }

/** The grants of a quota's owner to upstreams that may be cold. */
export class UnprovenGrants {
  private readonly _byUpstream = new Map<string, GrantHistory>()

  /** Returns whether one more request may be granted now, and records it if so. */
  tryGrant (upstream: string, maxUnproven: number, now: number): boolean {
    const history = this._getHistory(upstream)
    const grantedAt = listUnproven(history, now)
    if (grantedAt.length + 1 > maxUnproven) return false
    this._byUpstream.set(upstream, { ...history, grantedAt: [...grantedAt, now] })
    return true
  }

  /** Whether so many grants are not covered by a proof that another one should be requested. */
  isProofNeeded (upstream: string, maxUnproven: number, now: number): boolean {
    return listUnproven(this._getHistory(upstream), now).length * 2 >= maxUnproven
  }

  recordProof (upstream: string, requestedAt: number): void {
    const history = this._getHistory(upstream)
    this._byUpstream.set(upstream, { ...history, provenAt: Math.max(history.provenAt, requestedAt) })
  }

  /** Whether the upstream was warm after all requests granted before a time had arrived. */
  isProvenSince (upstream: string, time: number): boolean {
    return this._getHistory(upstream).provenAt >= time + ARRIVAL_DELAY_MS
  }

  remove (upstream: string): void {
    this._byUpstream.delete(upstream)
  }

  clear (): void {
    this._byUpstream.clear()
  }

  private _getHistory (upstream: string): GrantHistory {
    return this._byUpstream.get(upstream) ?? NO_GRANTS
  }
}

function listUnproven ({ grantedAt, provenAt }: GrantHistory, now: number): readonly number[] {
  const from = Math.max(now - WINDOW_MS, provenAt - ARRIVAL_DELAY_MS)
  return grantedAt.filter(at => at > from)
}
