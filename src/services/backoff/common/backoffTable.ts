/**
 * Upstreams that refused requests from this node and requested a backoff. When the backoff ends, one trial request is sent,
 * and more only once the upstream has accepted it: if all waiting requests were sent at once, all could be refused again.
 */

/** An upstream that is backing off or on trial. */
export interface KnownBackoff {
  readonly upstream: string
  /** Time in ms until the backoff ends; 0 if it has ended. */
  readonly leftMs: number
  /** Time in ms since the upstream last requested a backoff. */
  readonly ageMs: number
  /** The trial request was sent, and it is not known yet whether the upstream accepts it. */
  readonly isOnTrial: boolean
}

/** Whether a request is sent without restrictions, as the trial request after a backoff, or not at all. */
export type SendKind = 'usual' | 'trial' | 'denied'

/** A trial request counts as accepted if it was not refused within this time, since its answer may take much longer. */
export const TRIAL_TIMEOUT_MS = 250

interface Backoff {
  readonly endsAt: number
  readonly requestedAt: number
  /** When the trial request was sent; undefined if none is in flight. */
  readonly trialStartedAt: number | undefined
}

export class BackoffTable {
  private readonly _backoffs = new Map<string, Backoff>()

  get isEmpty (): boolean {
    return this._backoffs.size === 0
  }

  /** A shorter backoff that is requested later does not cut a longer one short. */
  record (upstream: string, forMs: number, now: number): void {
    this._backoffs.set(upstream, { endsAt: Math.max(now + forMs, this._backoffs.get(upstream)?.endsAt ?? 0), requestedAt: now, trialStartedAt: undefined })
  }

  /** Returns the time in ms until a request may be sent, which includes the wait for the trial request's result. */
  getWaitMs (upstream: string, now: number): number {
    const backoff = this._backoffs.get(upstream)
    return backoff === undefined ? 0 : computeWaitMs(backoff, now)
  }

  /** To be called right before a request is written. */
  beginSend (upstream: string, now: number): SendKind {
    const backoff = this._backoffs.get(upstream)
    if (backoff === undefined) return 'usual'
    if (computeWaitMs(backoff, now) > 0) return 'denied'
    if (backoff.trialStartedAt !== undefined) {
      this._backoffs.delete(upstream)
      return 'usual'
    }
    this._backoffs.set(upstream, { ...backoff, trialStartedAt: now })
    return 'trial'
  }

  /** Records the result of a request; results of those sent before the trial are ignored. Returns true if it ends the backoff. */
  recordSendResult (upstream: string, sentAt: number, isAccepted: boolean): boolean {
    const backoff = this._backoffs.get(upstream)
    if (backoff?.trialStartedAt === undefined || sentAt < backoff.trialStartedAt) return false
    if (isAccepted) return this._backoffs.delete(upstream)
    this._backoffs.set(upstream, { ...backoff, trialStartedAt: undefined })
    return false
  }

  /** Ends all backoffs after a pause of this process, since the state is outdated. Each upstream gets a trial request first. */
  expireAll (now: number): void {
    for (const [upstream, backoff] of this._backoffs) this._backoffs.set(upstream, { ...backoff, endsAt: Math.min(backoff.endsAt, now), trialStartedAt: undefined })
  }

  forget (upstream: string): void {
    this._backoffs.delete(upstream)
  }

  list (now: number): readonly KnownBackoff[] {
    return [...this._backoffs].map(([upstream, { endsAt, requestedAt, trialStartedAt }]) => ({ upstream, leftMs: Math.max(0, endsAt - now), ageMs: now - requestedAt, isOnTrial: trialStartedAt !== undefined }))
  }
}

function computeWaitMs ({ endsAt, trialStartedAt }: Backoff, now: number): number {
  if (now < endsAt) return endsAt - now
  return trialStartedAt === undefined ? 0 : Math.max(0, trialStartedAt + TRIAL_TIMEOUT_MS - now)
}
