/**
 * The quarantine from the point of view of one request: what is known against it, its runs that were lost, and its answers.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import { NO_CRASHES } from '../../quarantine/common/quarantineTracker.ts'
import type { LostRun } from '../../quarantine/common/quarantine.ts'
import type { CrashRecord } from '../../quarantine/common/quarantineTracker.ts'
import type { LostPieces } from '../../preparation/common/preparationService.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import { isConnectionLost } from '../common/attemptDecision.ts'
import type { AttemptProgress } from '../common/attemptProgress.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import type { AttemptResult } from './relayAttempt.ts'
import type { RelayContext } from './relayContext.ts'
import { RequestFingerprint } from './requestFingerprint.ts'

/** An answer whose output spans no more than this had just begun. Most upstreams that crash on a part of a prompt do so then. */
const STARTING_MS = 250
/** A node that reaches no peer joins alone after the same time. */
const MAX_PEER_WAIT_MS = 1000
/** After a shorter silence the upstream is taken to be working, or to have been when the attempt was given up. */
const MIN_SILENT_MS = 500

/** How far a run had come when it was lost, and what its request shares with others. */
type RunAtLoss = Pick<LostRun, 'sentAt' | 'endedAt' | 'isStarting' | 'partKeys'>

export class RequestQuarantine {
  readonly fingerprint: RequestFingerprint
  private _record = NO_CRASHES
  /** Upstreams that crashed during attempts of this request. */
  private _ownCrashCount = 0
  /** Resolves once each upstream that was lost while computing the request's pieces is known to have crashed or not. */
  private _lossesRecorded: Promise<unknown> = Promise.resolve()

  constructor (private readonly _context: RelayContext, private readonly _accepted: AcceptedRequest) {
    this.fingerprint = new RequestFingerprint({ ..._accepted.request, customer: _accepted.customer, body: _accepted.body }, _accepted.request.prompt)
  }

  /** Whether upstreams have crashed while they ran the request. */
  get isSuspect (): boolean {
    return this._record.crashCount > 0
  }

  /** Identifies a suspect when an upstream is selected for it, the same for all that share a cause; undefined for other requests. */
  get suspectKey (): string | undefined {
    if (!this.isSuspect) return undefined
    return this._record.parts.length > 0 ? this._record.parts.join() : this.fingerprint.getDigest()
  }

  /** The quarantine's count includes crashes of this request's attempts, except those that were not reported to it. */
  get crashCount (): number {
    return Math.max(this._record.crashCount, this._ownCrashCount)
  }

  /** Waits for the evidence of peers after a start of this node, if a part of the prompt may be quarantined. */
  async waitForPeers (): Promise<void> {
    const { clock, quarantine } = this._context
    const joined = quarantine.waitForPeers()
    if (joined === undefined || this.fingerprint.getPartKeys().length === 0) return
    await new Promise<void>(resolve => {
      const timer = clock.schedule(MAX_PEER_WAIT_MS, resolve)
      void joined.then(() => {
        timer.dispose()
        resolve()
      })
    })
  }

  /** Reads what all nodes know by now; returns undefined unless the request must not be sent. */
  findQuarantine (): CrashRecord | undefined {
    this._record = this._context.quarantine.getCrashRecord(this.fingerprint)
    return this._record.isQuarantined ? this._record : undefined
  }

  /** Tracks an attempt until it ends, so that it counts against its request as soon as its silent upstream is known to have crashed. */
  trackAttempt (upstream: UpstreamEntry, progress: AttemptProgress): IDisposable {
    const { clock, quarantine } = this._context
    const findSilentRun = () => {
      const now = clock.now()
      if (progress.hasEnded || progress.computeSilentMs(now) < MIN_SILENT_MS) return undefined
      return this._createLostRun(upstream, { sentAt: progress.sentAt, endedAt: now, isStarting: isStarting(progress), partKeys: this.fingerprint.getPartKeys() })
    }
    return quarantine.trackRun({ upstream: upstream.id, findSilentRun })
  }

  /**
   * Reports an attempt and waits until it is known whether the upstream crashed. Neither a further attempt nor an immediate
   * retry by the caller may be sent before that.
   */
  async recordAttemptEnd (upstream: UpstreamEntry, { outcome, hasTimedOut = false }: AttemptResult, progress: AttemptProgress): Promise<void> {
    const { quarantine } = this._context
    const { sentAt, endedAt } = progress
    if (outcome.kind === 'delivered') return quarantine.recordServed(this.fingerprint, { requestId: this._accepted.request.id, upstream: upstream.id, sentAt })
    const run = { sentAt, endedAt, isStarting: isStarting(progress), partKeys: this.fingerprint.getPartKeys() }
    if (isConnectionLost(outcome) && !hasTimedOut) {
      if (await this._recordLostConnection(upstream, run)) this._ownCrashCount++
    } else if ((hasTimedOut || outcome.kind === 'cancelled') && progress.silentMs >= MIN_SILENT_MS) {
      quarantine.recordSilentRun(this._createLostRun(upstream, run))
    }
  }

  /** Calls `onDidQuarantine` if the request is then quarantined for crashing the upstreams that compute its pieces. */
  recordLostPieces (lost: LostPieces, onDidQuarantine: () => void): void {
    this._lossesRecorded = Promise.all([this._lossesRecorded, this._recordLostPieces(lost, onDidQuarantine)])
  }

  /** Resolves once the losses that were reported so far are known to be crashes or not. */
  async waitForLosses (): Promise<void> {
    await this._lossesRecorded
  }

  private async _recordLostPieces ({ upstreamId, sentAt, endedAt }: LostPieces, onDidQuarantine: () => void): Promise<void> {
    const { registry, log } = this._context
    const upstream = registry.get(upstreamId)
    if (upstream === undefined) return
    // The upstream computed pieces and did not see the prompt.
    const hasCrashed = await this._recordLostConnection(upstream, { sentAt, endedAt, isStarting: false, partKeys: [] })
    log.info('pieces_lost', { request: this._accepted.request.id, upstream: upstreamId, digest: this.fingerprint.getDigest(), ended: hasCrashed, ends: this._record.crashCount })
    if (this._record.isQuarantined) onDidQuarantine()
  }

  private async _recordLostConnection (upstream: UpstreamEntry, run: RunAtLoss): Promise<boolean> {
    const { quarantine } = this._context
    const hasCrashed = await quarantine.recordLostRun(this._createLostRun(upstream, run))
    this._record = quarantine.getCrashRecord(this.fingerprint)
    return hasCrashed
  }

  private _createLostRun (upstream: UpstreamEntry, run: RunAtLoss): LostRun {
    return { digest: this.fingerprint.getDigest(), bodyBytes: this.fingerprint.bodyBytes, upstream: upstream.id, address: upstream.address, ...run }
  }
}

function isStarting ({ stage, outputMs }: AttemptProgress): boolean {
  return stage === 'head' || (stage === 'output' && outputMs <= STARTING_MS)
}
