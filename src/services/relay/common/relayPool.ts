/**
 * Tracks this node's use of each upstream (requests in flight, health, reported load) and selects one for a request.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { IBackoffService } from '../../backoff/common/backoff.ts'
import type { HealthTracker } from '../../health/common/healthTracker.ts'
import type { IQuotaService } from '../../quota/common/quota.ts'
import type { StatedLoads } from '../../upstream/common/statedLoads.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { AttemptOutcome } from './attemptDecision.ts'
import type { PromptShape } from './relayRequest.ts'
import type { RelayCandidate, RelayRouter } from './relayRouter.ts'
import { listSharedPrefixes } from './sharedPrefixes.ts'

export interface RelayPoolOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
  readonly router: RelayRouter
  readonly createHealth: () => HealthTracker
  /** Number of nodes that send to the same upstreams, this one included. */
  readonly countNodes: () => number
  /** Whether an upstream's process is known to have terminated although the upstream is still listed. */
  readonly hasTerminated: (upstream: string) => boolean
  /** Quota of upstreams with a rate limit; without it no limits apply. */
  readonly quota?: Pick<IQuotaService, 'getWaitMs'>
  /** Remaining backoff time of each upstream; without it no upstream is in backoff. */
  readonly backoffs?: Pick<IBackoffService, 'getWaitMs'>
  /** Loads that upstreams stated; without it none has stated any. */
  readonly loads?: Pick<StatedLoads, 'find' | 'findRecent' | 'getSlowness'>
}

export interface PoolQuery {
  readonly role: string
  readonly prompt: PromptShape | undefined
  readonly hall: string
  /** Upstreams that the request was already sent to; used again only if no other is available. */
  readonly tried: ReadonlySet<string>
  /** The only halls that may serve the request; undefined for all. */
  readonly homeHalls?: readonly string[]
  /** Upstreams that must not be selected, since they refused the request quota. */
  readonly excluded?: ReadonlySet<string>
}

/** A suspect, which is a request that may have crashed upstreams, is placed where a further crash affects the fewest others. */
export interface SuspectQuery extends Pick<PoolQuery, 'role' | 'tried' | 'homeHalls' | 'excluded'> {
  /** The request's digest, which is the same for all tries of the caller. */
  readonly key: string
}

/** What the pool needs to know about a request that is sent. */
export interface PoolRequest {
  readonly prompt: PromptShape | undefined
  /** Upstreams have crashed while they ran it. */
  readonly isSuspect: boolean
}

/** One attempt in flight at an upstream. */
export interface InFlightRequest {
  /** Marks the prompt as processed, since the first event or the answer has arrived. */
  recordFirstOutput (): void
  /** To be called for each event and each part of an answer. */
  recordOutput (): void
  end (outcome: AttemptOutcome): void
}

class UpstreamUsage {
  inFlight = 0
  pendingTokens = 0
  suspectCount = 0
  /** When this node last received output of the upstream, on this process's clock. */
  lastOutputAt = -Infinity

  constructor (readonly health: HealthTracker) {}
}

/** At most this share of a role's upstreams is ejected for poor health. */
const MAX_EJECTED_SHARE = 0.5

export class RelayPool {
  private readonly _options: RelayPoolOptions
  private readonly _usages = new Map<string, UpstreamUsage>()

  constructor (options: RelayPoolOptions) {
    this._options = options
    options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._usages.delete(entry.id) })
  }

  /** Returns the upstream that a preparation plan chose, or undefined if this node knows that it is not usable. */
  confirm (id: string, tried: ReadonlySet<string>, homeHalls?: readonly string[]): UpstreamEntry | undefined {
    const entry = this._options.registry.get(id)
    if (entry === undefined || !this._options.registry.isAvailable(entry) || tried.has(id) || this._isBackingOff(id) || homeHalls?.includes(entry.hall) === false) return undefined
    return this._getUsage(id).health.getState(this._options.clock.now()) === 'ejected' ? undefined : entry
  }

  choose (query: PoolQuery): UpstreamEntry | undefined {
    const entries = this._listAvailable(query)
    const untried = entries.filter(entry => !query.tried.has(entry.id))
    const usable = this._listHealthy(untried.length > 0 ? untried : entries, entries.length)
    const shared = query.prompt === undefined ? undefined : listSharedPrefixes(query.prompt).at(-1)
    const choice = this._options.router.choose(
      { sharedPrefixKey: shared?.key ?? '', sharedTokens: shared?.tokens ?? 0, hall: query.hall, nodeCount: this._options.countNodes() },
      usable.map(entry => this._createCandidate(entry))
    )
    return choice === undefined ? undefined : this._options.registry.get(choice.id)
  }

  /** All upstreams that may serve the request, those at their limits or in backoff included. */
  listEligible (role: string, homeHalls?: readonly string[]): readonly UpstreamEntry[] {
    const listed = this._options.registry.listAvailable(role)
    return homeHalls === undefined ? listed : listed.filter(({ hall }) => homeHalls.includes(hall))
  }

  /** Returns how long ago this node received output of the upstream, in milliseconds; Infinity if it never did. */
  getSilenceMs (id: string): number {
    return this._options.clock.now() - (this._usages.get(id)?.lastOutputAt ?? -Infinity)
  }

  /**
   * Selects an upstream for a suspect: one without another suspect, so that a crash can be attributed to one of them, and
   * then one with few requests in flight. Ties are resolved by rendezvous hashing of the digest, so that all nodes
   * choose the same upstream for one suspect and different ones for different suspects.
   */
  chooseForSuspect ({ tried, key, ...query }: SuspectQuery): UpstreamEntry | undefined {
    const entries = this._listAvailable(query)
    const untried = entries.filter(entry => !tried.has(entry.id))
    const usable = this._listHealthy(untried.length > 0 ? untried : entries, entries.length).filter(entry => !this._options.hasTerminated(entry.id))
    const ranked = rankByRendezvous(key, usable.map(entry => entry.id))
    const usages = ranked.map(id => ({ id, usage: this._getUsage(id) }))
    const [best] = usages.sort((a, b) => a.usage.suspectCount - b.usage.suspectCount || a.usage.inFlight - b.usage.inFlight)
    return best === undefined ? undefined : this._options.registry.get(best.id)
  }

  begin (upstream: UpstreamEntry, { prompt, isSuspect }: PoolRequest): InFlightRequest {
    const usage = this._getUsage(upstream.id)
    let pending = prompt?.inputTokens ?? 0
    usage.inFlight++
    if (isSuspect) usage.suspectCount++
    usage.pendingTokens += pending
    const recordFirstOutput = () => {
      usage.pendingTokens -= pending
      pending = 0
    }
    return {
      recordFirstOutput,
      recordOutput: () => { usage.lastOutputAt = this._options.clock.now() },
      end: outcome => {
        recordFirstOutput()
        usage.inFlight--
        if (isSuspect) usage.suspectCount--
        this._recordHealth(usage, outcome)
      }
    }
  }

  describe (): readonly object[] {
    const now = this._options.clock.now()
    return [...this._usages].map(([id, usage]) => ({ id, inFlight: usage.inFlight, pendingTokens: usage.pendingTokens, health: usage.health.getState(now), load: this._options.loads?.find(id) }))
  }

  /** Upstreams that should accept a request now, as far as this node knows without requesting quota. */
  private _listAvailable ({ role, homeHalls, excluded }: Pick<PoolQuery, 'role' | 'homeHalls' | 'excluded'>): readonly UpstreamEntry[] {
    const { quota } = this._options
    return this.listEligible(role, homeHalls).filter(entry => excluded?.has(entry.id) !== true && !this._isBackingOff(entry.id) && (quota === undefined || quota.getWaitMs(entry) === 0))
  }

  private _isBackingOff (id: string): boolean {
    return (this._options.backoffs?.getWaitMs(id) ?? 0) > 0
  }

  /** A refusal because of load is not counted against an upstream's health; a failed connection is. */
  private _recordHealth (usage: UpstreamUsage, outcome: AttemptOutcome): void {
    const now = this._options.clock.now()
    if (outcome.kind === 'delivered') usage.health.record(true, now)
    else if (outcome.kind === 'lost' || outcome.kind === 'broken' || outcome.kind === 'failed') usage.health.record(false, now)
    else if (outcome.kind === 'notRun' && outcome.reason === 'unreachable') usage.health.record(false, now)
  }

  private _listHealthy (entries: readonly UpstreamEntry[], roleSize: number): readonly UpstreamEntry[] {
    const now = this._options.clock.now()
    const healthy = entries.filter(entry => this._getUsage(entry.id).health.getState(now) !== 'ejected')
    const maxEjectedCount = Math.floor(roleSize * MAX_EJECTED_SHARE)
    if (entries.length - healthy.length <= maxEjectedCount && healthy.length > 0) return healthy
    const soonestToRecover = entries
      .filter(entry => !healthy.includes(entry))
      .sort((a, b) => this._getUsage(a.id).health.ejectedUntil - this._getUsage(b.id).health.ejectedUntil)
    return [...healthy, ...soonestToRecover.slice(0, Math.max(1, entries.length - maxEjectedCount - healthy.length))]
  }

  private _createCandidate (entry: UpstreamEntry): RelayCandidate {
    const usage = this._getUsage(entry.id)
    const { loads, clock } = this._options
    const load = loads?.findRecent(entry.id, clock.now())
    return {
      id: entry.id,
      hall: entry.hall,
      inFlight: usage.inFlight,
      pendingTokens: usage.pendingTokens,
      reportedLoad: load === undefined ? 0 : load.running + load.waiting,
      slots: entry.slots,
      latencyFactor: loads?.getSlowness(entry.id, clock.now()) ?? 1
    }
  }

  private _getUsage (id: string): UpstreamUsage {
    let usage = this._usages.get(id)
    if (usage === undefined) {
      usage = new UpstreamUsage(this._options.createHealth())
      this._usages.set(id, usage)
    }
    return usage
  }
}
