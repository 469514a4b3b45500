/**
 * Test harness: nodes of a fleet with their retry budgets and memberships, on a virtual clock. Processes start, are killed
 * and stop, are frozen and continue, links are cut, callers move, and every process makes each retry that its budget allows, the moment it is allowed.
 */
import { VirtualClock } from '../../base/common/clock.ts'
import { DisposableStore } from '../../base/common/disposable.ts'
import { SeededRandom } from '../../base/common/random.ts'
import { FactStore } from '../../services/facts/common/factStore.ts'
import { MembershipTable } from '../../services/membership/common/membershipTable.ts'
import type { RetryPermit } from '../../services/retry/common/retryPolicy.ts'
import { NodeRetries } from '../nodeRetries.ts'

/** The users' budget: retries of all nodes in any window, as a ratio of the first attempts and a base number. */
export interface FleetBudget {
  readonly ratio: number
  readonly base: number
}

/** With `move`, callers use the other nodes for a while; nothing else happens to the nodes that they leave. */
export type FleetEventKind = 'kill' | 'stop' | 'cut' | 'freeze' | 'move'

/** Something that happens to a set of nodes, given by the bits of `nodes`. */
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
}

export const WINDOW_MS = 10_000
const STEP_MS = 100
const RUN_MS = 40_000
const LEAD_MS = 12_000
const DRAIN_MS = 4000
const SUSPECT_AFTER_MS = 1000
/** A request that waited longer for a frozen process is not sent. */
const DEADLINE_MS = 4000
const ROLE = 'model'

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
    this.retries = new NodeRetries({ clock, settings, membership: this.membership })
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
  /** Times of first attempts and of retries, in milliseconds after the start of traffic. */
  readonly firsts: number[] = []
  readonly retries: number[] = []

  constructor (scenario: FleetScenario) {
    this._scenario = scenario
    this._random = new SeededRandom(scenario.seed)
    this._seeds = [0, 1, 2].slice(0, scenario.nodeCount).map(formatAddress)
    this._processes = Array.from({ length: scenario.nodeCount }, (_, index) => this._createProcess(index))
  }

  run (): void {
    for (let at = -LEAD_MS; at < RUN_MS; at += STEP_MS) {
      this._startProcesses(at)
      for (const event of this._scenario.events) if (event.atMs >= at && event.atMs < at + STEP_MS) this._applyEvent(event, at)
      this._exchangeFacts(at)
      this._sendWaiting(at)
      if (at >= 0) this._sendFirstAttempts(at)
      if (at >= this._scenario.failingFromMs) this._sendRetries(at)
      this._clock.advance(STEP_MS)
    }
  }

  /** The largest excess of retries over the users' budget in any window; negative if there is none. */
  computeExcess (): number {
    const { ratio, base } = this._scenario.budget
    const countBetween = (times: readonly number[], from: number) => times.filter(at => at >= from && at < from + WINDOW_MS).length
    let excess = -Infinity
    for (const from of new Set(this.retries)) {
      const firsts = Math.max(countBetween(this.firsts, from), countBetween(this.firsts, from - WINDOW_MS / 2), countBetween(this.firsts, from - WINDOW_MS))
      excess = Math.max(excess, countBetween(this.retries, from) - ratio * firsts - base)
    }
    return excess
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
      if (taker !== undefined && isFrozen(taker, at)) taker.waiting.push(at)
      else taker?.retries.budget.recordFirstAttempt(ROLE)
    }
  }

  /** Processes that continue send the requests that are still in time. */
  private _sendWaiting (at: number): void {
    for (const process of this._processes) {
      if (process === undefined || isFrozen(process, at)) continue
      for (const sentAt of process.waiting.splice(0)) if (at - sentAt < DEADLINE_MS) process.retries.budget.recordFirstAttempt(ROLE)
    }
  }

  private _sendRetries (at: number): void {
    for (const process of this._processes) {
      if (process !== undefined && isFrozen(process, at)) continue
      for (let permit = acquire(process); permit !== undefined; permit = acquire(process)) {
        permit.recordSent()
        this.retries.push(at)
      }
    }
  }
}

function acquire (process: FleetProcess | undefined): RetryPermit | undefined {
  return process?.retries.budget.acquireRetry(ROLE).permit
}

function isFrozen ({ frozenUntil }: FleetProcess, at: number): boolean {
  return at < frozenUntil
}

function formatAddress (index: number): string {
  return `10.0.0.${index + 1}:7000`
}
