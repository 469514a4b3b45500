/**
 * Finds an upstream that a request may be sent to now.
 */
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { RelayContext } from './relayContext.ts'
import type { RequestInputs } from './requestInputs.ts'
import type { TakenRequest } from './takenRequest.ts'

export interface UpstreamChoiceOptions {
  readonly context: RelayContext
  readonly taken: TakenRequest
  readonly role: string
  readonly inputs: RequestInputs
  /** Upstreams that the request was sent to already. */
  readonly tried: ReadonlySet<string>
  readonly signal: AbortSignal
}

/** What is known of a request when its upstream is chosen. */
export interface ChoiceTerms {
  /** What the tries of the request have in common, where upstreams have ended under them. */
  readonly suspectKey: string | undefined
  readonly timeLeftMs: number
}

/** Upstreams that are asked for one request in turn. */
const MAX_ASKED = 5
/** What was prepared is worth a short wait. */
const MAX_WAIT_MS = 1000
const MIN_WAIT_MS = 10

export class UpstreamChoice {
  private readonly _options: UpstreamChoiceOptions

  constructor (options: UpstreamChoiceOptions) {
    this._options = options
  }

  /** Undefined where none accepts the request now. */
  async acquire (terms: ChoiceTerms): Promise<UpstreamEntry | undefined> {
    const { context: { clock }, inputs, signal } = this._options
    const waitUntil = clock.now() + (inputs.handles.length > 0 ? Math.min(MAX_WAIT_MS, terms.timeLeftMs) : 0)
    for (;;) {
      const upstream = await this._askInTurn(terms)
      if (upstream !== undefined || signal.aborted) return upstream
      const waitMs = Math.max(MIN_WAIT_MS, this._computeWaitMs())
      if (clock.now() + waitMs >= waitUntil) return undefined
      await new Promise<void>(resolve => { clock.schedule(waitMs, resolve) })
    }
  }

  /** All upstreams that the request might go to, whatever they accept now. */
  listUsable (): readonly UpstreamEntry[] {
    const { context, role, taken } = this._options
    return context.pool.listUsable(role, taken.homeHalls)
  }

  /** Upstreams of the role that want nothing from this node now. */
  listBackingOff (): readonly UpstreamEntry[] {
    const { backoffs } = this._options.context
    return backoffs.isEmpty ? [] : this.listUsable().filter(({ id }) => backoffs.getWaitMs(id) > 0)
  }

  /** Whether what is made for the request could be sent to anybody by the time it is there. */
  mayPrepare (timeLeftMs: number): boolean {
    const { backoffs } = this._options.context
    return this.listUsable().some(({ id }) => backoffs.getWaitMs(id) <= Math.min(MAX_WAIT_MS, timeLeftMs))
  }

  /** When the caller of a request that none accepts now should return; undefined where no upstream says so. */
  scheduleReturn (): number | undefined {
    const { context: { backoffs, quota }, role } = this._options
    const backingOff = this.listBackingOff()
    const limited = this.listUsable().filter(entry => !backingOff.includes(entry) && quota.isLimited(entry))
    const times = [
      ...backingOff.length > 0 ? [backoffs.scheduleReturn(role, backingOff)] : [],
      ...limited.length > 0 ? [quota.scheduleReturn(role, limited)] : []
    ]
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Until one of the upstreams accepts more by its own word; Infinity where none says so. */
  private _computeWaitMs (): number {
    const { backoffs, quota } = this._options.context
    const waits = this.listUsable().map(entry => {
      const backoffMs = backoffs.getWaitMs(entry.id)
      return backoffMs === 0 && !quota.isLimited(entry) ? Infinity : Math.max(backoffMs, quota.getWaitMs(entry))
    })
    return Math.min(Infinity, ...waits)
  }

  private async _askInTurn (terms: ChoiceTerms): Promise<UpstreamEntry | undefined> {
    const { context: { quota }, taken } = this._options
    const denied = new Set<string>()
    while (denied.size < MAX_ASKED) {
      const upstream = this._choose(terms, denied)
      if (upstream === undefined || await quota.acquire(upstream, taken.request.id)) return upstream
      denied.add(upstream.id)
    }
    return undefined
  }

  private _choose ({ suspectKey }: ChoiceTerms, denied: ReadonlySet<string>): UpstreamEntry | undefined {
    const { context: { pool, hall }, role, tried, inputs, taken: { homeHalls, request } } = this._options
    if (suspectKey !== undefined) return pool.chooseApart({ role, tried, key: suspectKey, homeHalls, denied })
    const { targetId } = inputs
    const planned = targetId === undefined || denied.has(targetId) ? undefined : pool.confirm(targetId, tried, homeHalls)
    return planned ?? pool.choose({ role, prompt: request.prompt, hall: inputs.hall || hall, tried, homeHalls, denied })
  }
}
