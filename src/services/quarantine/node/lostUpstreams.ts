/**
 * Determines which of the upstream instances that this node lost runs at have crashed. A lost connection alone proves nothing,
 * and neither does an address that accepts connections, since the next instance may listen there already. Evidence of a
 * crash is that the address refuses connections, that the instance leaves the list without having said so, that another one
 * takes over its address, or that another node knows it crashed. It counts for all runs that were lost there shortly before.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamChange, UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { LostRun, OpenRun } from '../common/quarantine.ts'
import { MAX_EXIT_MS } from './upstreamProbe.ts'
import type { ProbeResult } from './upstreamProbe.ts'

export interface LostUpstreamsOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  readonly probe: (address: string) => Promise<ProbeResult>
}

/** An upstream instance that crashed, with this node's runs there. */
export interface UpstreamCrash {
  readonly upstream: string
  /** When the first of the runs was lost, in milliseconds on this process's clock. */
  readonly endedAt: number
  readonly runs: readonly LostRun[]
}

/** An upstream whose host does not answer is removed from the list of upstreams within this time after its crash. */
export const MAX_LIST_DELAY_MS = 6000
/** A node whose link delays the end of a connection may notice a loss this long after other nodes reported the crash. */
const CRASH_RETENTION_MS = 60_000
/** Of more runs that were lost at one upstream, the latest are kept. */
const MAX_RUNS = 64

/** An upstream at which runs were lost, whether or not it is known to have crashed. */
class LostUpstream {
  runs: readonly LostRun[] = []
  /** Whether a connection was lost; otherwise the upstream only fell silent. */
  hasLostConnection = false
  /** Set while the address is probed; resolves to whether it refuses connections. */
  crashCheck: Promise<boolean> | undefined
  /** Set while another probe follows one that was accepted. */
  secondCheck: IDisposable | undefined

  constructor (readonly address: string) {}
}

export class LostUpstreams extends Disposable {
  private readonly _options: LostUpstreamsOptions
  private readonly _lost = new Map<string, LostUpstream>()
  /** Runs that have not ended and do not count yet. */
  private readonly _openRuns = new Set<OpenRun>()
  /** Upstreams with open runs whose addresses are being probed. */
  private readonly _checked = new Set<string>()
  private readonly _crashedAt = new Map<string, number>()
  /** Instances that left the list without having said so. */
  private readonly _droppedAt = new Map<string, number>()
  private readonly _onDidCrash = this._register(new Emitter<UpstreamCrash>())
  /** Fires for a crash, and again when further runs are known to have been lost by it. */
  readonly onDidCrash = this._onDidCrash.event

  constructor (options: LostUpstreamsOptions) {
    super()
    this._options = options
    this._register(options.registry.onDidChange(change => this._handleRegistryChange(change)))
  }

  /** Whether the instance is known to have crashed. One that is still listed some time after the report of a crash has not. */
  hasCrashed (upstream: string): boolean {
    const { clock, registry } = this._options
    const crashedAt = this._crashedAt.get(upstream)
    return crashedAt !== undefined && (registry.get(upstream) === undefined || clock.now() - crashedAt <= MAX_LIST_DELAY_MS)
  }

  /** Records a run whose connection was closed; resolves to whether the upstream is known to have crashed. */
  async recordLost (run: LostRun): Promise<boolean> {
    const { upstream } = run
    if (this.hasCrashed(upstream)) {
      this._addRun(run)
      this._confirmCrash(upstream, 'known')
      return true
    }
    const entry = this._options.registry.get(upstream)
    // An upstream that leaves as planned may stop with runs in flight.
    if (entry === undefined || entry.isLeaving) {
      this._options.log.info('lost_run_ignored', { upstream, digest: run.digest, reason: entry === undefined ? 'unlisted' : 'leaving' })
      return false
    }
    const lost = this._addRun(run)
    lost.hasLostConnection = true
    lost.crashCheck ??= this._checkConnection(upstream, lost)
    if (await lost.crashCheck) this._confirmCrash(upstream, 'refused')
    return this.hasCrashed(upstream)
  }

  /** Records a run that this node ended while its upstream was silent. It counts if the upstream turns out to have crashed. */
  recordSilent (run: LostRun): void {
    const { upstream } = run
    const entry = this._options.registry.get(upstream)
    if (entry?.isLeaving === true || (entry === undefined && !this._droppedAt.has(upstream) && !this.hasCrashed(upstream))) return
    const lost = this._addRun(run)
    if (this.hasCrashed(upstream)) this._confirmCrash(upstream, 'known')
    else if (entry === undefined) void this._checkDropped(upstream, lost)
  }

  /** Tracks a run until it ends; it counts earlier if its upstream is silent and turns out to have crashed. */
  trackRun (run: OpenRun): IDisposable {
    this._openRuns.add(run)
    return toDisposable(() => this._openRuns.delete(run))
  }

  /** Records that a node knows that the upstream crashed. */
  recordCrash (upstream: string, at: number): void {
    this._confirmCrash(upstream, 'peer')
    this._crashedAt.set(upstream, at)
    if (this._options.registry.get(upstream)?.isLeaving !== true) void this._checkOpenRuns(upstream)
  }

  expire (now: number): void {
    for (const [upstream, lost] of [...this._lost]) if (!this._crashedAt.has(upstream) && lost.runs.every(run => isOld(run, now))) this._lost.delete(upstream)
    for (const [upstream, at] of [...this._crashedAt]) if (now - at > CRASH_RETENTION_MS) this._forgetCrash(upstream)
    for (const [upstream, at] of [...this._droppedAt]) if (now - at > MAX_LIST_DELAY_MS) this._droppedAt.delete(upstream)
  }

  private _forgetCrash (upstream: string): void {
    this._crashedAt.delete(upstream)
    this._lost.delete(upstream)
  }

  private _addRun (run: LostRun): LostUpstream {
    const lost = this._lost.get(run.upstream) ?? new LostUpstream(run.address)
    this._lost.set(run.upstream, lost)
    // A run that counted while it was open may be recorded again when it ends.
    if (!lost.runs.some(known => known.digest === run.digest && known.sentAt === run.sentAt)) lost.runs = [...lost.runs, run].slice(-MAX_RUNS)
    return lost
  }

  private async _checkConnection (upstream: string, lost: LostUpstream): Promise<boolean> {
    const { log, probe } = this._options
    const { address } = lost
    const result = await probe(address)
    log.info('upstream_lost', { upstream, address, connection: result })
    // The upstream may crash later, so the next lost connection starts a new probe.
    lost.crashCheck = undefined
    if (result === 'accepted') this._scheduleSecondCheck(upstream, lost)
    return result === 'refused'
  }

  /** A process that is being killed may have accepted the first probe. */
  private _scheduleSecondCheck (upstream: string, lost: LostUpstream): void {
    const { clock, registry, probe } = this._options
    lost.secondCheck ??= clock.schedule(MAX_EXIT_MS, () => {
      lost.secondCheck = undefined
      if (this._isDisposed || this.hasCrashed(upstream) || registry.get(upstream)?.isLeaving === true) return
      void probe(lost.address).then(result => { if (result === 'refused') this._confirmCrash(upstream, 'refused later') })
    })
  }

  private _handleRegistryChange ({ kind, entry }: UpstreamChange): void {
    if (kind === 'added') this._recordTakeover(entry)
    if (kind !== 'dropped' || entry.isLeaving) return
    this._droppedAt.set(entry.id, this._options.clock.now())
    const lost = this._lost.get(entry.id)
    if (lost === undefined) void this._checkOpenRuns(entry.id)
    else if (lost.hasLostConnection) this._confirmCrash(entry.id, 'unlisted')
    else void this._checkDropped(entry.id, lost)
  }

  private _recordTakeover ({ id, address }: UpstreamEntry): void {
    for (const [upstream, lost] of this._lost) {
      if (upstream !== id && lost.address === address && this._options.registry.get(upstream)?.isLeaving !== true) this._confirmCrash(upstream, 'address taken over')
    }
  }

  /** An upstream may leave the list without having said that it leaves, and serve on for a while. */
  private async _checkDropped (upstream: string, { address }: Pick<LostUpstream, 'address'>): Promise<void> {
    const result = await this._options.probe(address)
    this._options.log.info('upstream_lost', { upstream, address, connection: result })
    if (result === 'accepted') return
    this._addSilentRuns(upstream)
    this._confirmCrash(upstream, result)
  }

  private async _checkOpenRuns (upstream: string): Promise<void> {
    if (this._checked.has(upstream)) return
    const [run] = this._listSilentRuns(upstream)
    if (run === undefined) return
    this._checked.add(upstream)
    await this._checkDropped(upstream, run.lost)
    this._checked.delete(upstream)
  }

  private _addSilentRuns (upstream: string): void {
    for (const { open, lost } of this._listSilentRuns(upstream)) {
      this._openRuns.delete(open)
      this._addRun(lost)
    }
  }

  private _listSilentRuns (upstream: string): ReadonlyArray<{ readonly open: OpenRun, readonly lost: LostRun }> {
    return [...this._openRuns].flatMap(open => {
      const lost = open.upstream === upstream ? open.findSilentRun() : undefined
      return lost === undefined ? [] : [{ open, lost }]
    })
  }

  private _confirmCrash (upstream: string, evidence: string): void {
    const { clock, log } = this._options
    const lost = this._lost.get(upstream)
    if (lost === undefined || this._isDisposed) return
    if (!this._crashedAt.has(upstream)) {
      // Earlier runs were lost for another reason, since a crashed upstream leaves the list sooner.
      lost.runs = lost.runs.filter(run => !isOld(run, clock.now()))
      if (lost.runs.length === 0) return
      log.info('upstream_crashed', { upstream, evidence, runs: lost.runs.length })
      this._crashedAt.set(upstream, clock.now())
    }
    this._onDidCrash.fire({ upstream, endedAt: Math.min(...lost.runs.map(({ endedAt }) => endedAt)), runs: lost.runs })
  }
}

function isOld ({ endedAt }: LostRun, now: number): boolean {
  return now - endedAt > MAX_LIST_DELAY_MS
}
