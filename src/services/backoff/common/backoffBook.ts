/**
 * Upstreams that turned this node away and asked for a pause. When a pause ends, the upstream gets one request, and more
 * once it took that: everything that waited would be turned away together.
 */

/** An upstream that is left alone, or tried again after that. */
export interface KnownBackoff {
  readonly upstream: string
  /** Until the pause ends, in milliseconds; 0 when it has. */
  readonly leftMs: number
  /** Since the upstream asked for it last, in milliseconds. */
  readonly ageMs: number
  readonly isOnTrial: boolean
}

/** What a send to an upstream is. */
export type SendKind = 'usual' | 'trial' | 'denied'

/** An upstream that has not turned the first request away within this has taken it, also when it answers much later. */
export const TRIAL_MS = 250

interface Backoff {
  readonly until: number
  readonly askedAt: number
  /** When the first request after the pause was sent. */
  readonly trialAt: number | undefined
}

export class BackoffBook {
  private readonly _held = new Map<string, Backoff>()

  get isEmpty (): boolean {
    return this._held.size === 0
  }

  /** A shorter pause that is asked for later does not end a longer one. */
  note (upstream: string, forMs: number, now: number): void {
    this._held.set(upstream, { until: Math.max(now + forMs, this._held.get(upstream)?.until ?? 0), askedAt: now, trialAt: undefined })
  }

  /** How long nothing may be sent, in milliseconds. */
  getWaitMs (upstream: string, now: number): number {
    const held = this._held.get(upstream)
    return held === undefined ? 0 : computeWaitMs(held, now)
  }

  /** Takes in that something is about to be written. */
  beginSend (upstream: string, now: number): SendKind {
    const held = this._held.get(upstream)
    if (held === undefined) return 'usual'
    if (computeWaitMs(held, now) > 0) return 'denied'
    if (held.trialAt !== undefined) {
      this._held.delete(upstream)
      return 'usual'
    }
    this._held.set(upstream, { ...held, trialAt: now })
    return 'trial'
  }

  /** Takes in what became of something that was written at some time. True where the upstream is as before its pause. */
  settleSend (upstream: string, sentAt: number, isTaken: boolean): boolean {
    const held = this._held.get(upstream)
    if (held?.trialAt === undefined || sentAt < held.trialAt) return false
    if (isTaken) return this._held.delete(upstream)
    this._held.set(upstream, { ...held, trialAt: undefined })
    return false
  }

  /** What is known is from before a pause of this process: all may be tried. */
  expire (now: number): void {
    for (const [upstream, held] of this._held) this._held.set(upstream, { ...held, until: Math.min(held.until, now), trialAt: undefined })
  }

  forget (upstream: string): void {
    this._held.delete(upstream)
  }

  list (now: number): readonly KnownBackoff[] {
    return [...this._held].map(([upstream, { until, askedAt, trialAt }]) => ({ upstream, leftMs: Math.max(0, until - now), ageMs: now - askedAt, isOnTrial: trialAt !== undefined }))
  }
}

function computeWaitMs ({ until, trialAt }: Backoff, now: number): number {
  if (now < until) return until - now
  return trialAt === undefined ? 0 : Math.max(0, trialAt + TRIAL_MS - now)
}
