/**
 * The upstreams as this node uses them: what it has open there, how they do, and which one the router would take.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { IBackoffService } from '../../backoff/common/backoff.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { IQuotaService } from '../../quota/common/quota.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { AttemptOutcome } from './attemptDecision.ts'
import { listSharedPrefixes } from './relayRequest.ts'
import type { PromptShape } from './relayRequest.ts'
import type { UpstreamLoad } from './relayProtocol.ts'
import type { RelayCandidate, RelayRouter } from './relayRouter.ts'

export interface RelayPoolOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
  readonly router: RelayRouter
  readonly createHealth: () => HealthTracker
  /** Nodes that use the same upstreams, this one included. */
  readonly countNodes: () => number
  /** Whether a boot is known to have ended though it is still listed. */
  readonly hasEnded: (upstream: string) => boolean
  /** What limited upstreams accept; any number without it. */
  readonly quota?: Pick<IQuotaService, 'getWaitMs'>
  /** How long upstreams want nothing from this node; without it all take work. */
  readonly backoffs?: Pick<IBackoffService, 'getWaitMs'>
}

export interface PoolQuestion {
  readonly role: string
  readonly prompt: PromptShape | undefined
  readonly hall: string
  /** Upstreams that the request was sent to already. */
  readonly tried: ReadonlySet<string>
  /** The only halls that may serve the request; undefined for all. */
  readonly homeHalls?: readonly string[]
  /** Upstreams that do not accept the request now. */
  readonly denied?: ReadonlySet<string>
}

/** A request that may have ended upstreams wants a place where it does least harm. */
export interface ApartQuestion extends Pick<PoolQuestion, 'role' | 'tried' | 'homeHalls' | 'denied'> {
  /** What the tries of the request have in common. */
  readonly key: string
}

/** What comes to an upstream. */
export interface PoolArrival {
  readonly prompt: PromptShape | undefined
  /** Upstreams have ended under it. */
  readonly isSuspect: boolean
}

/** A request's stay at an upstream. */
export interface PoolVisit {
  /** The first event, or the answer, has come. */
  noteProduced (): void
  end (outcome: AttemptOutcome): void
}

/** What this node has open at an upstream and knows of it. */
class UpstreamUse {
  inFlight = 0
  pendingTokens = 0
  suspects = 0
  load: UpstreamLoad | undefined
  loadAt = -Infinity

  constructor (readonly health: HealthTracker) {}
}

/** A report of load is believed for so long. */
const MAX_LOAD_AGE_MS = 1000
/** No more than this part of a role is left out for its health. */
const MAX_EJECTED_SHARE = 0.5

export class RelayPool {
  private readonly _options: RelayPoolOptions
  private readonly _uses = new Map<string, UpstreamUse>()

  constructor (options: RelayPoolOptions) {
    this._options = options
    options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._uses.delete(entry.id) })
  }

  /** An upstream that was chosen elsewhere, if nothing known here speaks against it. */
  confirm (id: string, tried: ReadonlySet<string>, homeHalls?: readonly string[]): UpstreamEntry | undefined {
    const entry = this._options.registry.get(id)
    if (entry === undefined || !this._options.registry.mayUse(entry) || tried.has(id) || this._isBackingOff(id) || homeHalls?.includes(entry.hall) === false) return undefined
    return this._getUse(id).health.getState(this._options.clock.now()) === 'ejected' ? undefined : entry
  }

  choose (question: PoolQuestion): UpstreamEntry | undefined {
    const entries = this._listOpen(question)
    const untried = entries.filter(entry => !question.tried.has(entry.id))
    const usable = this._listHealthy(untried.length > 0 ? untried : entries, entries.length)
    const shared = question.prompt === undefined ? undefined : listSharedPrefixes(question.prompt).at(-1)
    const choice = this._options.router.choose(
      { sharedPrefix: shared?.key ?? '', sharedTokens: shared?.tokens ?? 0, hall: question.hall, nodeCount: this._options.countNodes() },
      usable.map(entry => this._createCandidate(entry))
    )
    return choice === undefined ? undefined : this._options.registry.get(choice.id)
  }

  /** All upstreams that the request might go to, whatever they accept now. */
  listUsable (role: string, homeHalls?: readonly string[]): readonly UpstreamEntry[] {
    const listed = this._options.registry.listRole(role)
    return homeHalls === undefined ? listed : listed.filter(({ hall }) => homeHalls.includes(hall))
  }

  /**
   * Where a suspect goes: to an upstream that has no other suspect, so that the next end tells which of them it was, and
   * as little else as may be. Nodes rank upstreams alike for one request and differently for two.
   */
  chooseApart ({ tried, key, ...question }: ApartQuestion): UpstreamEntry | undefined {
    const entries = this._listOpen(question)
    const untried = entries.filter(entry => !tried.has(entry.id))
    const usable = this._listHealthy(untried.length > 0 ? untried : entries, entries.length).filter(entry => !this._options.hasEnded(entry.id))
    const ranked = rankByRendezvous(key, usable.map(entry => entry.id))
    const costs = ranked.map(id => ({ id, use: this._getUse(id) }))
    const [best] = costs.sort((a, b) => a.use.suspects - b.use.suspects || a.use.inFlight - b.use.inFlight)
    return best === undefined ? undefined : this._options.registry.get(best.id)
  }

  begin (upstream: UpstreamEntry, { prompt, isSuspect }: PoolArrival): PoolVisit {
    const use = this._getUse(upstream.id)
    let pending = prompt?.inputTokens ?? 0
    use.inFlight++
    if (isSuspect) use.suspects++
    use.pendingTokens += pending
    const noteProduced = () => {
      use.pendingTokens -= pending
      pending = 0
    }
    return {
      noteProduced,
      end: outcome => {
        noteProduced()
        use.inFlight--
        if (isSuspect) use.suspects--
        this._recordHealth(use, outcome)
      }
    }
  }

  recordLoad (upstream: UpstreamEntry, load: UpstreamLoad): void {
    const use = this._getUse(upstream.id)
    use.load = load
    use.loadAt = this._options.clock.now()
  }

  describe (): readonly object[] {
    const now = this._options.clock.now()
    return [...this._uses].map(([id, use]) => ({ id, inFlight: use.inFlight, pendingTokens: use.pendingTokens, health: use.health.getState(now), load: use.load }))
  }

  /** Upstreams that accept work now, as far as is known without asking. */
  private _listOpen ({ role, homeHalls, denied }: Pick<PoolQuestion, 'role' | 'homeHalls' | 'denied'>): readonly UpstreamEntry[] {
    const { quota } = this._options
    return this.listUsable(role, homeHalls).filter(entry => denied?.has(entry.id) !== true && !this._isBackingOff(entry.id) && (quota === undefined || quota.getWaitMs(entry) === 0))
  }

  private _isBackingOff (id: string): boolean {
    return (this._options.backoffs?.getWaitMs(id) ?? 0) > 0
  }

  /** A refusal for want of room says nothing of health; a failed connection does. */
  private _recordHealth (use: UpstreamUse, outcome: AttemptOutcome): void {
    const now = this._options.clock.now()
    if (outcome.kind === 'delivered') use.health.record(true, now)
    else if (outcome.kind === 'lost' || outcome.kind === 'broken' || outcome.kind === 'failed') use.health.record(false, now)
    else if (outcome.kind === 'notRun' && outcome.reason === 'unreachable') use.health.record(false, now)
  }

  private _listHealthy (entries: readonly UpstreamEntry[], roleSize: number): readonly UpstreamEntry[] {
    const now = this._options.clock.now()
    const healthy = entries.filter(entry => this._getUse(entry.id).health.getState(now) !== 'ejected')
    const mayEject = Math.floor(roleSize * MAX_EJECTED_SHARE)
    if (entries.length - healthy.length <= mayEject && healthy.length > 0) return healthy
    const soonest = entries
      .filter(entry => !healthy.includes(entry))
      .sort((a, b) => this._getUse(a.id).health.ejectedUntil - this._getUse(b.id).health.ejectedUntil)
    return [...healthy, ...soonest.slice(0, Math.max(1, entries.length - mayEject - healthy.length))]
  }

  private _createCandidate (entry: UpstreamEntry): RelayCandidate {
    const use = this._getUse(entry.id)
    const isFresh = this._options.clock.now() - use.loadAt <= MAX_LOAD_AGE_MS
    return {
      id: entry.id,
      hall: entry.hall,
      inFlight: use.inFlight,
      pendingTokens: use.pendingTokens,
      reportedLoad: isFresh && use.load !== undefined ? use.load.running + use.load.waiting : 0,
      slots: entry.slots,
      slowness: 1
    }
  }

  private _getUse (id: string): UpstreamUse {
    let use = this._uses.get(id)
    if (use === undefined) {
      use = new UpstreamUse(this._options.createHealth())
      this._uses.set(id, use)
    }
    return use
  }
}
