/**
 * Selects an upstream for a request and acquires quota there.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RelayContext } from './relayContext.ts'
import type { RequestInputs } from './requestInputs.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'

export interface UpstreamSelectorOptions {
  readonly context: RelayContext
  readonly accepted: AcceptedRequest
  readonly role: string
  readonly inputs: RequestInputs
  /** Upstreams that the request was already sent to. */
  readonly tried: ReadonlySet<string>
  readonly signal: AbortSignal
}

export interface SelectionConstraints {
  /** The request's digest if upstreams have crashed while they ran it, otherwise undefined. */
  readonly suspectKey: string | undefined
  /** The only upstreams that may be selected; undefined for all. */
  readonly candidates?: readonly UpstreamEntry[]
}

export interface WaitConstraints extends SelectionConstraints {
  readonly timeLeftMs: number
}

/** Upstreams whose quota is requested for one request before it is refused. */
const MAX_QUOTA_QUERIES = 5
/** A request with prepared results waits up to this long for an upstream. */
const MAX_PREPARED_WAIT_MS = 1000
/** Other requests wait only for a proof that an upstream is warm, which is about to arrive. */
const MAX_PROOF_WAIT_MS = 60
const MIN_WAIT_MS = 10

export class UpstreamSelector {
  private readonly _options: UpstreamSelectorOptions

  constructor (options: UpstreamSelectorOptions) {
    this._options = options
  }

  /** Returns undefined if no upstream accepts the request now. */
  async acquire (constraints: WaitConstraints): Promise<UpstreamEntry | undefined> {
    const { context: { clock }, signal } = this._options
    const startedAt = clock.now()
    for (;;) {
      const upstream = await this.acquireNow(constraints)
      if (upstream !== undefined || signal.aborted) return upstream
      const waitMs = Math.max(MIN_WAIT_MS, this._computeWaitMs())
      if (clock.now() + waitMs >= startedAt + Math.min(this._getMaxWaitMs(), constraints.timeLeftMs)) return undefined
      await new Promise<void>(resolve => { clock.schedule(waitMs, resolve) })
    }
  }

  /** Like `acquire`, without waiting for a limit or backoff. */
  async acquireNow (constraints: SelectionConstraints): Promise<UpstreamEntry | undefined> {
    const { context: { quota }, accepted } = this._options
    const { candidates } = constraints
    const excluded = new Set(candidates === undefined ? [] : this.listEligible().filter(entry => !candidates.includes(entry)).map(({ id }) => id))
    for (let count = 0; count < MAX_QUOTA_QUERIES; count++) {
      const upstream = this._choose(constraints, excluded)
      if (upstream === undefined || await quota.acquire(upstream, accepted.request.id)) return upstream
      excluded.add(upstream.id)
    }
    return undefined
  }

  /** All upstreams that may serve the request, those at their limits or in backoff included. */
  listEligible (): readonly UpstreamEntry[] {
    const { context, role, accepted } = this._options
    return context.pool.listEligible(role, accepted.homeHalls)
  }

  /** Eligible upstreams that the request was not sent to yet. */
  listUntried (): readonly UpstreamEntry[] {
    return this.listEligible().filter(({ id }) => !this._options.tried.has(id))
  }

  /** Upstreams that requested a backoff from this node that has not expired. */
  listBackingOff (): readonly UpstreamEntry[] {
    const { backoffs } = this._options.context
    return backoffs.isEmpty ? [] : this.listEligible().filter(({ id }) => backoffs.getWaitMs(id) > 0)
  }

  /** Whether an upstream is expected to accept the request by the time its results are prepared. */
  canPrepare (timeLeftMs: number): boolean {
    const { backoffs } = this._options.context
    return this.listEligible().some(({ id }) => backoffs.getWaitMs(id) <= Math.min(MAX_PREPARED_WAIT_MS, timeLeftMs))
  }

  /** Retry delay in milliseconds for the caller of a refused request; undefined if no upstream has a limit or backoff. */
  scheduleCallerRetry (): number | undefined {
    const { context: { backoffs, quota }, role } = this._options
    const backingOff = this.listBackingOff()
    const limited = this.listEligible().filter(entry => !backingOff.includes(entry) && quota.isLimited(entry))
    const waitTimesMs = [
      ...backingOff.length > 0 ? [backoffs.scheduleRetryAfter(role, backingOff)] : [],
      ...limited.length > 0 ? [quota.scheduleRetryAfter(role, limited)] : []
    ]
    return waitTimesMs.length === 0 ? undefined : Math.min(...waitTimesMs)
  }

  /** Time in milliseconds until a limit or backoff of an upstream allows a request; Infinity if none is limited. */
  private _computeWaitMs (): number {
    const { backoffs, quota } = this._options.context
    const waitTimesMs = this.listEligible().map(entry => {
      const backoffMs = backoffs.getWaitMs(entry.id)
      return backoffMs === 0 && !quota.isLimited(entry) ? Infinity : Math.max(backoffMs, quota.getWaitMs(entry))
    })
    return Math.min(Infinity, ...waitTimesMs)
  }

  private _getMaxWaitMs (): number {
    const { context: { quota }, inputs } = this._options
    if (inputs.handles.length > 0) return MAX_PREPARED_WAIT_MS
    return this.listEligible().some(entry => quota.isUnconfirmed(entry)) ? MAX_PROOF_WAIT_MS : 0
  }

  private _choose ({ suspectKey }: SelectionConstraints, excluded: ReadonlySet<string>): UpstreamEntry | undefined {
    const { context: { pool, hall }, role, tried, inputs, accepted: { homeHalls, request } } = this._options
    if (suspectKey !== undefined) return pool.chooseForSuspect({ role, tried, key: suspectKey, homeHalls, excluded })
    const { targetId } = inputs
    const planned = targetId === undefined || excluded.has(targetId) ? undefined : pool.confirm(targetId, tried, homeHalls)
    return planned ?? pool.choose({ role, prompt: request.prompt, hall: inputs.hall || hall, tried, homeHalls, excluded })
  }
}
