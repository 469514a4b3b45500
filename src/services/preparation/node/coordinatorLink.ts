/**
 * A node's link to the coordinator of another node.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { PeerReportedLimit } from '../../quota/common/peerReportedLimits.ts'
import type { JobUpdate } from '../common/plannedCall.ts'
import { checkPreparationMessage } from '../common/preparationMessage.ts'
import type { PreparationMessage } from '../common/preparationMessage.ts'

export interface CoordinatorLinkOptions {
  readonly address: string
  readonly localAddress?: string
  readonly clock: IClock
  /** The process that the link is meant for; a later one at the address refuses it. If undefined, any process accepts it. */
  readonly incarnation?: number | undefined
}

export type QuotaAnswer = PreparationMessage & { readonly kind: 'quotaAnswered' }

const JOB_UPDATE_KINDS: ReadonlySet<string> = new Set<JobUpdate['kind']>(['prepared', 'refused', 'declined', 'made', 'lost', 'moved'])

function isJobUpdate (message: PreparationMessage): message is PreparationMessage & JobUpdate {
  return JOB_UPDATE_KINDS.has(message.kind)
}

const DIAL_TIMEOUT_MS = 250
const PING_PERIOD_MS = 150
/** A link that receives nothing for this time is closed. Its jobs may then move, which is always safe. */
const SILENCE_TIMEOUT_MS = 600

export class CoordinatorLink extends Disposable {
  private readonly _onDidReceiveUpdate = this._register(new Emitter<JobUpdate>())
  private readonly _onDidReceiveQuotaAnswer = this._register(new Emitter<QuotaAnswer>())
  private readonly _onDidDetectRestart = this._register(new Emitter<number>())
  private readonly _onDidClose = this._register(new Emitter<void>())
  readonly onDidReceiveUpdate = this._onDidReceiveUpdate.event
  readonly onDidReceiveQuotaAnswer = this._onDidReceiveQuotaAnswer.event
  /** Fired with the incarnation of the process at the address if that started after the one that the link was meant for. */
  readonly onDidDetectRestart = this._onDidDetectRestart.event
  readonly onDidClose = this._onDidClose.event
  private readonly _connection: FrameConnection
  private _lastReceivedAt: number
  private _isClosed = false
  private _hasReceived = false
  private _hasTimedOut = false
  private _hasRestarted = false
  private readonly _hallsWithSentPrefixes = new Set<string>()
  /** Jobs that wait for updates. Liveness is checked only while there are such jobs or unanswered quota queries. */
  openJobCount = 0
  private _openQuotaQueryCount = 0

  readonly address: string
  /** The process that the link is meant for. */
  readonly incarnation: number | undefined
  private readonly _clock: IClock

  private constructor (socket: Socket, { address, incarnation, clock }: CoordinatorLinkOptions) {
    super()
    this.address = address
    this.incarnation = incarnation
    this._clock = clock
    this._lastReceivedAt = clock.now()
    this._connection = this._register(new FrameConnection(socket))
    this._connection.onDidReceive(frame => this._receive(frame))
    this._connection.onDidClose(() => this._close())
    this._register(startInterval(PING_PERIOD_MS, () => this._checkLiveness()))
    if (incarnation !== undefined) this.send({ kind: 'hello', incarnation })
  }

  /** Resolves with undefined if the coordinator cannot be reached in time. */
  static open (options: CoordinatorLinkOptions): Promise<CoordinatorLink | undefined> {
    const address = parseAddress(options.address)
    if (address === undefined) return Promise.resolve(undefined)
    return new Promise(resolve => {
      const socket = connect({ host: address.host, port: address.port, localAddress: options.localAddress })
      const timer = setTimeout(() => socket.destroy(), DIAL_TIMEOUT_MS)
      const onFail = () => {
        clearTimeout(timer)
        resolve(undefined)
      }
      socket.once('error', () => {})
      socket.once('close', onFail)
      socket.once('connect', () => {
        clearTimeout(timer)
        socket.off('close', onFail)
        resolve(new CoordinatorLink(socket, options))
      })
    })
  }

  /**
   * Returns true only at the first call for a hall on this link. Prefixes are sent once per link, because the
   * coordinator at a new link may have just started to plan.
   */
  markPrefixesSent (hall: string): boolean {
    const isNew = !this._hallsWithSentPrefixes.has(hall)
    this._hallsWithSentPrefixes.add(hall)
    return isNew
  }

  get isClosed (): boolean {
    return this._isClosed
  }

  /**
   * Whether the link was closed for silence after it had received frames. In that case the connection alone may have
   * failed, and not the coordinator.
   */
  get hasStalled (): boolean {
    return this._hasTimedOut && this._hasReceived
  }

  /** Whether the link was closed because the process that it was meant for has ended. */
  get hasRestarted (): boolean {
    return this._hasRestarted
  }

  send (message: PreparationMessage): void {
    this._connection.send(message)
  }

  /** Queries the quota for one request to an upstream. Liveness is checked until the answer arrives. */
  sendQuotaQuery (id: number, upstreamId: string, limit: PeerReportedLimit | undefined): void {
    this._openQuotaQueryCount++
    this.send({ kind: 'quotaWanted', id, upstreamId, limit })
  }

  close (): void {
    this._connection.dispose()
    this._close()
  }

  private _receive (frame: unknown): void {
    this._lastReceivedAt = this._clock.now()
    this._hasReceived = true
    checkPreparationMessage(frame).caseOf({
      // Kinds of messages that only newer coordinators send are ignored.
      Left: error => { if (error.resultName !== 'messageUnknown') this.close() },
      Right: message => {
        if (isJobUpdate(message)) this._onDidReceiveUpdate.fire(message)
        else if (message.kind === 'quotaAnswered') this._receiveQuotaAnswer(message)
        else if (message.kind === 'restarted') this._receiveRestart(message.incarnation)
      }
    })
  }

  private _receiveQuotaAnswer (answer: QuotaAnswer): void {
    this._openQuotaQueryCount--
    this._onDidReceiveQuotaAnswer.fire(answer)
  }

  private _receiveRestart (incarnation: number): void {
    this._hasRestarted = true
    this._onDidDetectRestart.fire(incarnation)
    this.close()
  }

  private _checkLiveness (): void {
    const silentMs = this._clock.now() - this._lastReceivedAt
    if (this.openJobCount + this._openQuotaQueryCount === 0) this._lastReceivedAt = this._clock.now()
    else if (silentMs > SILENCE_TIMEOUT_MS) this._closeSilent()
    else if (silentMs > PING_PERIOD_MS) this.send({ kind: 'ping' })
  }

  private _closeSilent (): void {
    this._hasTimedOut = true
    this.close()
  }

  private _close (): void {
    if (this._isClosed) return
    this._isClosed = true
    this._onDidClose.fire()
    this.dispose()
  }
}
