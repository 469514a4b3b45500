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
import type { ToldLimit } from '../../quota/common/toldLimits.ts'
import type { JobNews } from '../common/plannedCall.ts'
import { checkPreparationMessage } from '../common/preparationMessage.ts'
import type { PreparationMessage } from '../common/preparationMessage.ts'

export interface CoordinatorLinkOptions {
  readonly address: string
  readonly localAddress?: string
  readonly clock: IClock
}

export type QuotaAnswer = PreparationMessage & { readonly kind: 'quotaAnswered' }

const NEWS_KINDS: ReadonlySet<string> = new Set<JobNews['kind']>(['prepared', 'refused', 'declined', 'made', 'lost', 'moved'])

function isNews (message: PreparationMessage): message is PreparationMessage & JobNews {
  return NEWS_KINDS.has(message.kind)
}

const DIAL_TIMEOUT_MS = 250
const PING_PERIOD_MS = 150
/** A link that is silent for so long is given up; its jobs may go elsewhere, which is always allowed. */
const SILENCE_MS = 600

export class CoordinatorLink extends Disposable {
  private readonly _onDidReceive = this._register(new Emitter<JobNews>())
  private readonly _onDidAnswerQuota = this._register(new Emitter<QuotaAnswer>())
  private readonly _onDidClose = this._register(new Emitter<void>())
  readonly onDidReceive = this._onDidReceive.event
  readonly onDidAnswerQuota = this._onDidAnswerQuota.event
  readonly onDidClose = this._onDidClose.event
  private readonly _connection: FrameConnection
  private _heardAt: number
  private _isClosed = false
  private _wasHeard = false
  private _wentSilent = false
  private readonly _toldHalls = new Set<string>()
  /** Jobs that wait for news; without any, and without questions, the other side is not asked whether it lives. */
  openJobs = 0
  private _openQuestions = 0

  private constructor (readonly address: string, socket: Socket, private readonly _clock: IClock) {
    super()
    this._heardAt = _clock.now()
    this._connection = this._register(new FrameConnection(socket))
    this._connection.onDidReceive(frame => this._take(frame))
    this._connection.onDidClose(() => this._close())
    this._register(startInterval(PING_PERIOD_MS, () => this._ping()))
  }

  /** Undefined when the coordinator cannot be reached in time. */
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
        resolve(new CoordinatorLink(options.address, socket, options.clock))
      })
    })
  }

  /** Once for each hall: a coordinator that is reached anew may have begun to plan. */
  mayTellPrefixes (hall: string): boolean {
    const isNew = !this._toldHalls.has(hall)
    this._toldHalls.add(hall)
    return isNew
  }

  get isClosed (): boolean {
    return this._isClosed
  }

  /** Answers came before the silence, so that it may be the connection's alone and not the coordinator's. */
  get wentSilent (): boolean {
    return this._wentSilent && this._wasHeard
  }

  send (message: PreparationMessage): void {
    this._connection.send(message)
  }

  /** Asks for one request at an upstream. Without an answer it is found out whether the other side lives. */
  askQuota (id: number, upstreamId: string, limit: ToldLimit | undefined): void {
    this._openQuestions++
    this.send({ kind: 'quotaWanted', id, upstreamId, limit })
  }

  close (): void {
    this._connection.dispose()
    this._close()
  }

  private _take (frame: unknown): void {
    this._heardAt = this._clock.now()
    this._wasHeard = true
    checkPreparationMessage(frame).caseOf({
      // What a newer coordinator says beside the rest is skipped.
      Left: error => { if (error.resultName !== 'messageUnknown') this.close() },
      Right: message => {
        if (isNews(message)) this._onDidReceive.fire(message)
        else if (message.kind === 'quotaAnswered') this._takeAnswer(message)
      }
    })
  }

  private _takeAnswer (answer: QuotaAnswer): void {
    this._openQuestions--
    this._onDidAnswerQuota.fire(answer)
  }

  private _ping (): void {
    const silentMs = this._clock.now() - this._heardAt
    if (this.openJobs + this._openQuestions === 0) this._heardAt = this._clock.now()
    else if (silentMs > SILENCE_MS) this._giveUp()
    else if (silentMs > PING_PERIOD_MS) this.send({ kind: 'ping' })
  }

  private _giveUp (): void {
    this._wentSilent = true
    this.close()
  }

  private _close (): void {
    if (this._isClosed) return
    this._isClosed = true
    this._onDidClose.fire()
    this.dispose()
  }
}
