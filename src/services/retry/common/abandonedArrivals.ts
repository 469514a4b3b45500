/**
 * Attempts that were given up before an answer began. What was written for them is with an upstream that does not read, or on
 * the way to it, and arrives once it reads again. That shows in an answer to a request that was written later.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { AttemptArrival } from './attemptArrival.ts'

export interface AbandonedArrivalsOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
}

interface AbandonedAttempt {
  readonly arrival: AttemptArrival
  readonly address: string
  readonly abandonedAt: number
}

/** An upstream that has not read for this time is considered lost, together with what was written to it. */
export const MAX_SILENCE_MS = 60_000

export class AbandonedArrivals extends Disposable {
  private readonly _options: AbandonedArrivalsOptions
  /** By upstream id, the oldest first. */
  private readonly _attempts = new Map<string, readonly AbandonedAttempt[]>()
  private _count = 0
  private _expiry: IDisposable | undefined

  constructor (options: AbandonedArrivalsOptions) {
    super()
    this._options = options
    // An upstream that is dropped may only have been silent for too long, so that alone settles nothing.
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'added') this._handleAdded(entry) }))
    this._register(toDisposable(() => this._expiry?.dispose()))
  }

  /** Attempts that may still arrive. */
  get count (): number {
    return this._count
  }

  /** Keeps an attempt until its arrival is settled. Its connection has been reset, so nothing more of it leaves this machine. */
  add ({ id, address }: UpstreamEntry, arrival: AttemptArrival): void {
    if (arrival.isSettled) return
    this._attempts.set(id, [...this._attempts.get(id) ?? [], { arrival, address, abandonedAt: this._options.clock.now() }])
    this._count++
    this._scheduleExpiry()
  }

  /** Records that an upstream began to answer a request that was written at this time. */
  recordAnswer (upstream: string, writtenAt: number): void {
    this._settle(upstream, ({ abandonedAt }) => abandonedAt <= writtenAt)
  }

  /** Another upstream at the same address takes the place of a process that has ended. */
  private _handleAdded ({ id, address }: UpstreamEntry): void {
    for (const upstream of this._attempts.keys()) if (upstream !== id) this._settle(upstream, attempt => attempt.address === address)
  }

  private _settle (upstream: string, hasArrived: (attempt: AbandonedAttempt) => boolean): void {
    const attempts = this._attempts.get(upstream)
    if (attempts === undefined) return
    const open = attempts.filter(attempt => !hasArrived(attempt))
    if (open.length > 0) this._attempts.set(upstream, open)
    else this._attempts.delete(upstream)
    this._count -= attempts.length - open.length
    for (const attempt of attempts) if (hasArrived(attempt)) attempt.arrival.settle()
  }

  private _scheduleExpiry (): void {
    this._expiry ??= this._options.clock.schedule(MAX_SILENCE_MS, () => {
      this._expiry = undefined
      const oldestKept = this._options.clock.now() - MAX_SILENCE_MS
      for (const upstream of [...this._attempts.keys()]) this._settle(upstream, ({ abandonedAt }) => abandonedAt <= oldestKept)
      if (this._count > 0) this._scheduleExpiry()
    })
  }
}
