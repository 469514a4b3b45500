/**
 * Accepts jobs from other nodes for this node's coordinator.
 */
import { Disposable } from '../../../base/common/disposable.ts'
import type { FrameConnection } from '../../../base/node/frameConnection.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { FrameServer } from '../../rpc/node/frameServer.ts'
import type { QuotaDecision } from '../../quota/common/quotaOwner.ts'
import type { PeerReportedLimit } from '../../quota/common/peerReportedLimits.ts'
import { checkPreparationMessage, readSubmittedJobId } from '../common/preparationMessage.ts'
import type { PreparationMessage } from '../common/preparationMessage.ts'
import type { PreparationCoordinator } from './preparationCoordinator.ts'

/** Decides whether a node may send one request to an upstream, identified by the id of its process instance. */
export type QuotaHandler = (upstreamId: string, limit: PeerReportedLimit | undefined) => QuotaDecision

/** Upper bound for retry times in answers: the wire format has no infinite number. */
const MAX_QUOTA_RETRY_MS = 10_000
const QUOTA_UNAVAILABLE: QuotaDecision = { isGranted: false, retryInMs: MAX_QUOTA_RETRY_MS }

export class PreparationServer extends Disposable {
  private readonly _server = this._register(new FrameServer(connection => this._accept(connection)))

  /**
   * Without `_answerQuota`, all requests for quota are denied. `_incarnation` is that of this process; without it, links to
   * any process at this address are accepted.
   */
  constructor (private readonly _coordinator: PreparationCoordinator, private readonly _log: ILogService, private readonly _answerQuota?: QuotaHandler, private readonly _incarnation = 0) {
    super()
  }

  /** Resolves with the bound port; the system chooses a free one if `port` is 0. */
  listen (host: string, port: number): Promise<number> {
    return this._server.listen(host, port)
  }

  private _accept (connection: FrameConnection): void {
    const jobs = new Set<string>()
    let isRefused = false
    connection.onDidReceive(frame => {
      checkPreparationMessage(frame).caseOf({
        Left: error => this._rejectFrame(connection, frame, error),
        Right: message => {
          if (message.kind === 'hello' && message.incarnation < this._incarnation) isRefused = this._refuseLink(connection, message.incarnation)
          else if (!isRefused) this._handleMessage(connection, jobs, message)
        }
      })
    })
    connection.onDidClose(() => { for (const jobId of jobs) this._coordinator.detach(jobId, connection) })
  }

  /**
   * Refuses an invalid job only: the other jobs of its owner would have to move with the link, and the owner would submit the job
   * to the next coordinator. Kinds of messages that only newer owners send are ignored.
   */
  private _rejectFrame (connection: FrameConnection, frame: unknown, error: PepperwoodError): void {
    const jobId = readSubmittedJobId(frame)
    this._log.warn('frame_refused', { code: error.resultName, place: error.place, ...jobId === undefined ? {} : { request: jobId } })
    if (error.resultName === 'messageUnknown') return
    if (jobId === undefined) connection.dispose()
    else connection.send({ kind: 'refused', jobId, refusal: { reason: 'tooLate', retryAfterMs: 0 } } satisfies PreparationMessage)
  }

  /**
   * Refuses a link that was meant for an earlier process at this address. Its sender does not know yet that this process
   * may no longer be the right coordinator, and its jobs would start a plan beside the one that other nodes use.
   */
  private _refuseLink (connection: FrameConnection, meant: number): true {
    this._log.info('coordinator_link_refused', { meant, incarnation: this._incarnation })
    connection.send({ kind: 'restarted', incarnation: this._incarnation })
    return true
  }

  private _handleMessage (connection: FrameConnection, jobs: Set<string>, message: PreparationMessage): void {
    const send = (reply: PreparationMessage) => connection.send(reply)
    if (message.kind === 'ping') {
      send({ kind: 'pong' })
    } else if (message.kind === 'quotaWanted') {
      const { isGranted, retryInMs } = this._answerQuota?.(message.upstreamId, message.limit) ?? QUOTA_UNAVAILABLE
      send({ kind: 'quotaAnswered', id: message.id, isGranted, retryInMs: Math.min(MAX_QUOTA_RETRY_MS, retryInMs) })
    } else if (message.kind === 'job') {
      jobs.add(message.job.id)
      this._coordinator.submit({ job: message.job, hall: message.hall, carried: message.carried, isOffer: message.isOffer, link: connection }, update => {
        if (update.kind === 'refused' || update.kind === 'declined' || update.kind === 'moved') jobs.delete(update.jobId)
        send(update)
      })
    } else if (message.kind === 'prefixes') {
      this._coordinator.addPrefixes(message.hall, message.notes)
    } else if (message.kind === 'reservations') {
      this._coordinator.adoptReservations(message.hall, message.entries)
    } else if (message.kind === 'returnNotice') {
      this._coordinator.addReturnNotice(message.hall, message)
    } else if (message.kind === 'release') {
      this._coordinator.release(message.jobId)
      if (!this._coordinator.hasJob(message.jobId)) jobs.delete(message.jobId)
    } else if (message.kind === 'report') {
      this._coordinator.report(message.jobId, message)
      if (!this._coordinator.hasJob(message.jobId)) jobs.delete(message.jobId)
    } else if (message.kind === 'reopen' && !this._coordinator.reopen(message.jobId, send)) {
      send({ kind: 'refused', jobId: message.jobId, refusal: { reason: 'interrupted', retryAfterMs: 0 } })
    }
  }
}
