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
    const { context: { clock, quota }, inputs, signal } = this._options
    const waitUntil = clock.now() + (inputs.handles.length > 0 ? Math.min(MAX_WAIT_MS, terms.timeLeftMs) : 0)
    for (;;) {
      const upstream = await this._askInTurn(terms)
      if (upstream !== undefined || signal.aborted) return upstream
      const limited = this.listUsable().filter(entry => quota.isLimited(entry))
      const waitMs = Math.max(MIN_WAIT_MS, Math.min(...limited.map(entry => quota.getWaitMs(entry))))
      if (limited.length === 0 || clock.now() + waitMs >= waitUntil) return undefined
      await new Promise<void>(resolve => { clock.schedule(waitMs, resolve) })
    }
  }

  /** All upstreams that the request might go to, whatever they accept now. */
  listUsable (): readonly UpstreamEntry[] {
    const { context, role, taken } = this._options
    return context.pool.listUsable(role, taken.homeHalls)
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
