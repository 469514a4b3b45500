/**
 * Test harness: nodes of a fleet with their retry budgets and memberships, on a virtual clock. Processes start, are killed
 * and stop, are frozen and continue, links are cut, callers move, and every process makes each retry that its budget allows, the
 * moment it is allowed. Upstreams pause and receive later what was sent to them; links hold up what is sent to an upstream, and
 * lose what is given up meanwhile.
 */
import { VirtualClock } from '../../base/common/clock.ts'
import { DisposableStore } from '../../base/common/disposable.ts'
import { SeededRandom } from '../../base/common/random.ts'
import { FactStore } from '../../services/facts/common/factStore.ts'
import { MembershipTable } from '../../services/membership/common/membershipTable.ts'
import { AttemptArrival } from '../../services/retry/common/attemptArrival.ts'
import { findWorstWindow } from '../../services/retry/test/retryExcess.ts'
import type { UpstreamEntry } from '../../services/upstream/common/upstreamRegistry.ts'
import { UpstreamRegistry } from '../../services/upstream/common/upstreamRegistry.ts'
import { NodeRetries } from '../nodeRetries.ts'

/** The users' budget: retries of all nodes in any window, as a ratio of the first attempts and a base number. */
export interface FleetBudget {
  readonly ratio: number
  readonly base: number
}

/**
 * With `move`, callers use the other nodes for a while; nothing else happens to the nodes that they leave. Upstreams are affected
 * by `pause` and `hold`.
 */
export type FleetEventKind = 'kill' | 'stop' | 'cut' | 'freeze' | 'move' | 'pause' | 'hold'

/** Something that happens to a set of nodes, or of upstreams, given by the bits of `nodes`. */
export interface FleetEvent {
  readonly kind: FleetEventKind
  readonly atMs: number
  readonly nodes: number
  /** How long a process is away or frozen, links are cut, or callers are elsewhere. */
  readonly forMs: number
}

export interface FleetScenario {
  readonly nodeCount: number
  readonly requestsPerS: number
  readonly budget: FleetBudget
  readonly events: readonly FleetEvent[]
  readonly seed: number
  /** Retries are wanted from here on. */
  readonly failingFromMs: number
  readonly runMs?: number
}

export const WINDOW_MS = 10_000
const STEP_MS = 100
const DEFAULT_RUN_MS = 40_000
const LEAD_MS = 12_000
const DRAIN_MS = 4000
const SUSPECT_AFTER_MS = 1000
/** A request that waited longer for a frozen process is not sent. */
const DEADLINE_MS = 4000
const ROLE = 'model'
export const UPSTREAMS = 6
const UPSTREAM_ENTRIES: readonly UpstreamEntry[] = Array.from({ length: UPSTREAMS }, (_, index) => ({ id: `u${index}`, role: ROLE, address: `10.0.1.${index + 1}:80`, hall: 'h', slots: 8, isLeaving: false }))
/** Attempts end when they have had no answer for this time. */
const ATTEMPT_TIMEOUT_MS = 2000

/** An attempt at an upstream that does not read, or to which a link holds everything up. */
interface WaitingAttempt {
  readonly process: FleetProcess
  readonly upstream: UpstreamEntry
  readonly arrival: AttemptArrival
  readonly arrivesAt: number
  readonly isHeldByLink: boolean
  readonly endsAt: number
}

/** The two attempts of a request that is retried, each with its time of arrival; Infinity if it never arrives. */
interface RetriedRequest {
  readonly attempts: readonly (WaitingAttempt | undefined)[]
  readonly sentAt: number
}

class FleetProcess {
  private readonly _owned = new DisposableStore()
  readonly membership: MembershipTable
  readonly retries: NodeRetries
  readonly facts: FactStore
  drainsUntil: number | undefined
  frozenUntil = -Infinity
  /** When the requests were sent that reached the process while it was frozen. */
  readonly waiting: number[] = []

  constructor (clock: VirtualClock, index: number, budget: FleetBudget, seeds: readonly string[]) {
    const address = formatAddress(index)
    this.facts = this._owned.add(new FactStore(clock))
    this.membership = this._owned.add(new MembershipTable({ address, hall: 'h', incarnation: clock.now() + 1, clock, random: new SeededRandom(index), facts: this.facts }))
    const settings = { retry_share: budget.ratio, retry_spare: budget.base, retry_window_s: WINDOW_MS / 1000, stop_grace_s: DRAIN_MS / 1000, seeds, address }
    this.retries = new NodeRetries({ clock, settings, membership: this.membership, registry: this._owned.add(new UpstreamRegistry()) })
  }
}

export class RetryFleet {
  private readonly _scenario: FleetScenario
  private readonly _clock = new VirtualClock(1_000_000)
  private readonly _random: SeededRandom
  private readonly _seeds: readonly string[]
  private readonly _processes: Array<FleetProcess | undefined>
  private readonly _restartAt = new Map<number, number>()
  private readonly _cutUntil = new Map<number, number>()
  private readonly _movedUntil = new Map<number, number>()
  private readonly _unheardSince = new Map<string, number>()
  /** When each upstream reads again, and when the link to it carries again, by index. */
  private readonly _pausedUntil = new Map<number, number>()
  private readonly _heldUntil = new Map<number, number>()
  private _waiting: readonly WaitingAttempt[] = []
  private readonly _abandoned = new Set<WaitingAttempt>()
  private readonly _retried: RetriedRequest[] = []
  /** Times of first attempts, in milliseconds after the start of traffic. */
  readonly firsts: number[] = []

  constructor (scenario: FleetScenario) {
    this._scenario = scenario
    this._random = new SeededRandom(scenario.seed)
    this._seeds = [0, 1, 2].slice(0, scenario.nodeCount).map(formatAddress)
    this._processes = Array.from({ length: scenario.nodeCount }, (_, index) => this._createProcess(index))
  }

  run (): void {
    for (let at = -LEAD_MS; at < (this._scenario.runMs ?? DEFAULT_RUN_MS); at += STEP_MS) {
      this._startProcesses(at)
      for (const event of this._scenario.events) if (event.atMs >= at && event.atMs < at + STEP_MS) this._applyEvent(event, at)
      this._exchangeFacts(at)
      this._updateWaiting(at)
      this._sendWaiting(at)
      if (at >= 0) this._sendFirstAttempts(at)
      if (at >= this._scenario.failingFromMs) this._sendRetries(at)
      this._clock.advance(STEP_MS)
    }
  }

  /** The largest excess of retries over the users' budget in any window; negative if there is none. */
  computeExcess (): number {
    return findWorstWindow({ retriedAt: this.listRetryTimes(), sentAt: this.firsts }, { windowMs: WINDOW_MS, ...this._scenario.budget })?.excess ?? -Infinity
  }

  /** When arrivals beyond the first of a request came: of two attempts that arrive, the later one. */
  listRetryTimes (): readonly number[] {
    return this._retried.flatMap(({ attempts, sentAt }) => {
      const times = attempts.map(attempt => attempt === undefined ? sentAt : this._isLost(attempt) ? Infinity : attempt.arrivesAt)
      const at = Math.max(...times)
      return at === Infinity ? [] : [at]
    }).sort((a, b) => a - b)
  }

  private _createProcess (index: number): FleetProcess {
    return new FleetProcess(this._clock, index, this._scenario.budget, this._seeds)
  }

  private _startProcesses (at: number): void {
    this._processes.forEach((process, index) => {
      if (process?.drainsUntil !== undefined && process.drainsUntil <= at) this._processes[index] = undefined
    })
    for (const [index, restartAt] of this._restartAt) {
      if (restartAt > at) continue
      this._restartAt.delete(index)
      this._processes[index] = this._createProcess(index)
    }
  }

  private _applyEvent ({ kind, nodes, forMs }: FleetEvent, at: number): void {
    if (kind === 'pause' || kind === 'hold') {
      const until = kind === 'pause' ? this._pausedUntil : this._heldUntil
      UPSTREAM_ENTRIES.forEach((_entry, index) => { if ((nodes >> index) % 2 === 1) until.set(index, Math.max(until.get(index) ?? 0, at + forMs)) })
      return
    }
    this._processes.forEach((process, index) => {
      if ((nodes >> index) % 2 === 0) return
      if (kind === 'cut') {
        this._cutUntil.set(index, at + forMs)
      } else if (kind === 'move') {
        this._movedUntil.set(index, at + forMs)
      } else if (kind === 'freeze') {
        if (process !== undefined) process.frozenUntil = at + forMs
      } else if (process !== undefined && process.drainsUntil === undefined) {
        if (kind === 'kill') {
          this._processes[index] = undefined
        } else {
          process.drainsUntil = at + DRAIN_MS
          process.membership.leave()
        }
        this._restartAt.set(index, at + forMs + (kind === 'kill' ? 0 : DRAIN_MS))
      }
    })
  }

  /** Facts reach all linked processes within a step. A cut node reaches no other one; a node that is unheard is suspected. */
  private _exchangeFacts (at: number): void {
    const isCut = (index: number) => (this._cutUntil.get(index) ?? -Infinity) > at
    this._processes.forEach((receiver, to) => {
      if (receiver !== undefined && isFrozen(receiver, at)) return
      this._processes.forEach((sender, from) => {
        if (receiver === undefined || from === to) return
        const isLinked = sender !== undefined && !isFrozen(sender, at) && !isCut(from) && !isCut(to)
        if (isLinked) for (const fact of sender.facts.listSince(0, '')) receiver.facts.merge(fact, formatAddress(from))
        const link = `${to}/${from}`
        if (isLinked) this._unheardSince.delete(link)
        else if (!this._unheardSince.has(link)) this._unheardSince.set(link, at)
        if (at - (this._unheardSince.get(link) ?? Infinity) >= SUSPECT_AFTER_MS) receiver.membership.suspect(formatAddress(from))
      })
      receiver?.membership.expireMembers()
    })
  }

  /** Callers leave a frozen process once it is suspected. */
  private _sendFirstAttempts (at: number): void {
    const isUsed = (index: number) => (this._movedUntil.get(index) ?? -Infinity) <= at
    const isKnownLost = (process: FleetProcess) => isFrozen(process, at) && isFrozen(process, at - SUSPECT_AFTER_MS)
    const running = this._processes.filter(process => process !== undefined && process.drainsUntil === undefined && !isKnownLost(process))
    const preferred = running.filter(process => isUsed(this._processes.indexOf(process)))
    const takers = preferred.length > 0 ? preferred : running
    const count = this._scenario.requestsPerS * STEP_MS / 1000
    for (let index = 0; index < count; index++) {
      this.firsts.push(at)
      const taker = takers[Math.floor(this._random.next() * takers.length)]
      if (taker === undefined) continue
      if (isFrozen(taker, at)) taker.waiting.push(at)
      else this._sendFirstAttempt(taker, at)
    }
  }

  /** Processes that continue send the requests that are still in time. */
  private _sendWaiting (at: number): void {
    for (const process of this._processes) {
      if (process === undefined || isFrozen(process, at)) continue
      for (const sentAt of process.waiting.splice(0)) if (at - sentAt < DEADLINE_MS) this._sendFirstAttempt(process, at)
    }
  }

  private _sendRetries (at: number): void {
    for (const process of this._processes) {
      if (process === undefined || isFrozen(process, at)) continue
      const acquire = () => process.retries.budget.acquireRetry(ROLE).permit
      for (let permit = acquire(); permit !== undefined; permit = acquire()) {
        const attempts = [this._sendAttempt(process, at, at), this._sendAttempt(process, at, at + ATTEMPT_TIMEOUT_MS)]
        permit.recordSent(attempts.flatMap(attempt => attempt === undefined ? [] : [attempt.arrival]))
        this._retried.push({ attempts, sentAt: at })
      }
    }
  }

  /** An upstream that reads answers at once, which shows that it has read what was sent before. */
  private _sendFirstAttempt (process: FleetProcess, at: number): void {
    process.retries.budget.recordFirstAttempt(ROLE)
    this._sendAttempt(process, at, at)
  }

  /** Sends to an upstream drawn at random; returns the attempt if it does not arrive at once. */
  private _sendAttempt (process: FleetProcess, at: number, endsAt: number): WaitingAttempt | undefined {
    const index = Math.floor(this._random.next() * UPSTREAMS)
    const upstream = UPSTREAM_ENTRIES[index]
    if (upstream === undefined) return undefined
    const [pausedUntil = 0, heldUntil = 0] = [this._pausedUntil.get(index), this._heldUntil.get(index)]
    const arrivesAt = Math.max(pausedUntil, heldUntil)
    if (arrivesAt <= at) {
      process.retries.abandonedArrivals.recordAnswer(upstream.id, this._clock.now())
      return undefined
    }
    const attempt: WaitingAttempt = { process, upstream, arrival: new AttemptArrival(), arrivesAt, isHeldByLink: heldUntil > at, endsAt }
    this._waiting = [...this._waiting, attempt]
    return attempt
  }

  /** Attempts are answered when they arrive in time, and given up otherwise. A frozen process does neither. */
  private _updateWaiting (at: number): void {
    this._waiting = this._waiting.filter(attempt => {
      const { process, upstream, arrival, arrivesAt, endsAt } = attempt
      if (isFrozen(process, at)) return true
      if (arrivesAt <= at) arrival.settle()
      else if (endsAt > at) return true
      else {
        this._abandoned.add(attempt)
        process.retries.abandonedArrivals.add(upstream, arrival)
      }
      return false
    })
  }

  /** A link loses what it holds for a connection that is reset. */
  private _isLost (attempt: WaitingAttempt): boolean {
    return attempt.isHeldByLink && this._abandoned.has(attempt)
  }
}

function isFrozen ({ frozenUntil }: FleetProcess, at: number): boolean {
  return at < frozenUntil
}

function formatAddress (index: number): string {
  return `10.0.0.${index + 1}:7000`
}
