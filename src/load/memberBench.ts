/**
 * Measures what membership and the exchange of facts cost each host. All members of a fleet run in this process and
 * communicate over loopback; no requests are sent.
 */
import { SeededRandom } from '../base/common/random.ts'
import { SystemClock } from '../base/node/systemClock.ts'
import { waitFor } from '../base/node/interval.ts'
import { formatLeavingSubject } from '../services/facts/common/fact.ts'
import { LogService } from '../services/log/node/logger.ts'
import { FleetMember } from '../services/membership/node/fleetMember.ts'

export interface MemberBenchOptions {
  readonly hosts: number
  readonly halls?: number
  /** Duration of each phase. */
  readonly phaseMs?: number
  /** Number of upstreams per second that are reported as leaving during the churn phase. */
  readonly leavingFactsPerSecond?: number
  readonly port?: number
}

/** Cost of one phase per host, except for `suspicions`, which is the total. */
export interface MemberCost {
  readonly phase: 'start' | 'idle' | 'churn'
  readonly hosts: number
  /** Percent of one core. */
  readonly processorPercent: number
  readonly bytesPerSecond: number
  readonly links: number
  /** Number of times that a member was suspected although all members are alive. */
  readonly suspicions: number
}

const DEFAULT_PORT = 7950
/** The members start evenly distributed over this time, as hosts do after a loss of power. */
const START_SPREAD_MS = 300
const SEED_COUNT = 3

export class MemberBench {
  private readonly _members: FleetMember[] = []
  private readonly _options: Required<MemberBenchOptions>
  private readonly _log = new LogService({ program: 'member-bench', silent: true })

  constructor (options: MemberBenchOptions) {
    this._options = { halls: 5, phaseMs: 6000, leavingFactsPerSecond: 2, port: DEFAULT_PORT, ...options }
  }

  async run (): Promise<readonly MemberCost[]> {
    try {
      const start = await this._measure('start', () => this._startAll())
      const idle = await this._measure('idle', async () => {})
      const churn = await this._measure('churn', () => this._publishLeavingFacts())
      return [start, idle, churn]
    } finally {
      for (const member of this._members) member.dispose()
    }
  }

  private async _startAll (): Promise<void> {
    const { hosts } = this._options
    const seeds = Array.from({ length: Math.min(SEED_COUNT, hosts) }, (_, index) => this._formatAddress(index))
    await Promise.all(Array.from({ length: hosts }, async (_, index) => {
      await waitFor(START_SPREAD_MS * index / hosts)
      const member = this._createMember(index, seeds)
      this._members.push(member)
      await member.listen({ host: this._formatHost(index), port: this._options.port })
      await member.join(Promise.resolve(true))
    }))
  }

  private async _publishLeavingFacts (): Promise<void> {
    const { phaseMs, leavingFactsPerSecond } = this._options
    const count = Math.round(phaseMs / 1000 * leavingFactsPerSecond)
    for (let index = 0; index < count; index++) {
      const upstream = `upstream-${index}`
      // Each host also receives the fact from its own source, not only from other members.
      for (const member of this._members) {
        member.facts.merge({ subject: formatLeavingSubject(upstream), incarnation: 1, counter: 1, value: { kind: 'leaving', upstream, signal: 'source' }, ageMs: 0 })
      }
      await waitFor(1000 / leavingFactsPerSecond)
    }
  }

  private async _measure (phase: MemberCost['phase'], runPhase: () => Promise<void>): Promise<MemberCost> {
    const { hosts, phaseMs } = this._options
    const before = { usage: process.cpuUsage(), at: performance.now(), sent: this._sumSent(), suspicions: this._sumSuspicions() }
    await Promise.all([runPhase(), waitFor(phaseMs)])
    const usage = process.cpuUsage(before.usage)
    const seconds = (performance.now() - before.at) / 1000
    return {
      phase,
      hosts,
      processorPercent: (usage.user + usage.system) / 1e6 / seconds / hosts * 100,
      bytesPerSecond: (this._sumSent() - before.sent) / seconds / hosts,
      links: this._members.reduce((sum, member) => sum + member.gossip.links.length, 0) / hosts,
      suspicions: this._sumSuspicions() - before.suspicions
    }
  }

  private _createMember (index: number, seeds: readonly string[]): FleetMember {
    return new FleetMember({
      address: this._formatAddress(index),
      hall: `hall-${index % this._options.halls}`,
      localIp: this._formatHost(index),
      incarnation: 1,
      clock: new SystemClock(),
      random: new SeededRandom(index + 1),
      log: this._log,
      listSeeds: () => seeds,
      seedRetryPeriodMs: 200,
      readyWaitMs: 3000,
      isSourceAuthoritative: true,
      hasGates: false
    })
  }

  private _sumSent (): number {
    return this._members.reduce((sum, member) => sum + member.traffic.sent, 0)
  }

  private _sumSuspicions (): number {
    return this._members.reduce((sum, member) => sum + member.membership.suspicionCount, 0)
  }

  private _formatHost (index: number): string {
    return `127.0.${1 + Math.floor(index / 200)}.${1 + index % 200}`
  }

  private _formatAddress (index: number): string {
    return `${this._formatHost(index)}:${this._options.port}`
  }
}
