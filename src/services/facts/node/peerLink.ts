/**
 * A link to another process of the system: facts that are new to it, and the newest configuration.
 */
import { connect } from 'node:net'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { parseAddress } from '../../../base/common/address.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { compareStamps } from '../../configuration/common/configurationNumber.ts'
import type { ConfigurationStamp } from '../../configuration/common/configurationNumber.ts'
import type { IConfigurationService } from '../../configuration/common/configurationService.ts'
import type { FetchGuard } from '../../configuration/common/fetchGuard.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { Fact } from '../common/fact.ts'
import type { FactStore } from '../common/factStore.ts'
import { checkMessage } from '../common/wireMessage.ts'
import type { WireMessage } from '../common/wireMessage.ts'

export interface PeerLinkOptions {
  readonly connection: FrameConnection
  readonly facts: FactStore
  readonly configuration: IConfigurationService
  /** One for all links of the process. */
  readonly fetchGuard: FetchGuard
  readonly log: ILogService
  /** What this side says of itself first. */
  readonly hello: Extract<WireMessage, { readonly kind: 'hello' }>
  /** Whether this side's configuration may be handed on yet. */
  readonly mayShareConfiguration: () => boolean
}

/** Bytes sent and received. */
export interface LinkTraffic {
  readonly sent: number
  readonly received: number
}

export function sumTraffic (parts: readonly LinkTraffic[]): LinkTraffic {
  return parts.reduce((sum, part) => ({ sent: sum.sent + part.sent, received: sum.received + part.received }), { sent: 0, received: 0 })
}

const MAX_FACTS_PER_FRAME = 500

export class PeerLink extends Disposable {
  private readonly _options: PeerLinkOptions
  private _peer: Extract<WireMessage, { readonly kind: 'hello' }> | undefined
  /** What was known here when the link opened. */
  private readonly _openedSequence: number
  /** Everything up to here was sent. */
  private _syncedSequence = 0
  /** The newest that was sent; between the two there may be gaps. */
  private _sentSequence = 0
  private readonly _onDidReceive = this._register(new Emitter<WireMessage>())
  private readonly _onDidClose = this._register(new Emitter<void>())
  /** Every message, once the link has done its part. */
  readonly onDidReceive = this._onDidReceive.event
  readonly onDidClose = this._onDidClose.event

  constructor (options: PeerLinkOptions) {
    super()
    this._options = options
    this._openedSequence = options.facts.sequence
    this._register(options.connection)
    this._register(options.connection.onDidReceive(frame => this._receive(frame)))
    this._register(options.connection.onDidClose(fault => {
      if (fault !== undefined) options.log.warn('frame_refused', { code: fault, peer: this.peerAddress })
      this._onDidClose.fire()
      this.dispose()
    }))
    this.send(options.hello)
    this.announceConfiguration()
  }

  /** Empty until the other side has said hello. */
  get peerAddress (): string {
    return this._peer?.address ?? ''
  }

  get peerRole (): 'steward' | 'gate' | undefined {
    return this._peer?.role
  }

  /** Bytes of this link so far. */
  get traffic (): LinkTraffic {
    const { bytesSent, bytesReceived } = this._options.connection
    return { sent: bytesSent, received: bytesReceived }
  }

  get isClosed (): boolean {
    return this._options.connection.isClosed
  }

  send (message: WireMessage): void {
    this._options.connection.send(message)
  }

  /** Sends what `createFrame` has made of a message. */
  sendFrame (frame: Buffer): void {
    this._options.connection.sendFrame(frame)
  }

  /** Sends all facts that the other side has not had from here. */
  sendNews (): void {
    const { facts } = this._options
    this._sendSince(this._syncedSequence)
    this._syncedSequence = facts.sequence
  }

  /** Sends only what was learned after a sequence number, and not sent here yet; what is older is left to `sendNews`. */
  sendRecent (since: number): void {
    this._sendSince(Math.max(since, this._sentSequence, this._syncedSequence))
  }

  private _sendSince (sequence: number): void {
    const { facts } = this._options
    this._sentSequence = facts.sequence
    if (facts.sequence === sequence) return
    this.sendFacts(facts.listSince(sequence, this.peerAddress, this._openedSequence))
  }

  /** Sends facts whether they were sent before or not. */
  sendFacts (facts: readonly Fact[]): void {
    for (let start = 0; start < facts.length; start += MAX_FACTS_PER_FRAME) {
      this.send({ kind: 'facts', facts: facts.slice(start, start + MAX_FACTS_PER_FRAME) })
    }
  }

  /** Says which configuration this side holds: the other side asks for it, or says that it holds a higher one. */
  announceConfiguration (): void {
    if (!this._options.mayShareConfiguration() && this._options.configuration.current !== undefined) return
    this.send({ kind: 'configurationHeld', ...this._getStamp() })
  }

  /** Asks for all that the other side knows; the answer ends with `refreshed` and the same id. */
  askAll (id: number): void {
    this.send({ kind: 'refresh', id, ...this._getStamp() })
  }

  /** Sends the configuration in force, unless the other side holds one as high. */
  sendConfiguration (held: ConfigurationStamp): void {
    const current = this._options.configuration.current
    if (current === undefined || !this._options.mayShareConfiguration()) return
    if (compareStamps(current, held) <= 0) return
    this.send({ kind: 'configuration', text: current.text, revision: current.revision })
  }

  /**
   * A side that holds a lower document is told so and asks for this one once, whoever tells it. Sent unasked, a new
   * document would come from every peer: in a fleet of 78 that filled small links for seconds.
   */
  private _compareConfiguration (held: ConfigurationStamp): void {
    const own = this._getStamp()
    if (compareStamps(held, own) < 0) this.announceConfiguration()
    else if (this._options.fetchGuard.begin(held, own)) this.send({ kind: 'configurationWanted', ...own })
  }

  private _answerRefresh (question: ConfigurationStamp & { readonly id: number }): void {
    this.sendNews()
    this.sendConfiguration(question)
    this.send({ kind: 'refreshed', id: question.id })
  }

  private _getStamp (): ConfigurationStamp {
    const { current, number } = this._options.configuration
    return { number, revision: current?.revision ?? 0 }
  }

  private _receive (frame: unknown): void {
    checkMessage(frame).caseOf({
      Left: error => this._refuse(error),
      Right: message => this._take(message)
    })
  }

  /** A message of an unknown kind is skipped; a broken one ends the link, since nothing after it can be trusted. */
  private _refuse (error: PepperwoodError): void {
    this._options.log.warn('frame_refused', { code: error.resultName, place: error.place, peer: this.peerAddress })
    if (error.resultName !== 'messageUnknown') this.dispose()
  }

  private _take (message: WireMessage): void {
    const { facts, configuration } = this._options
    if (message.kind === 'hello') {
      this._peer = message
    } else if (message.kind === 'facts') {
      for (const fact of message.facts) facts.merge(fact, this.peerAddress)
    } else if (message.kind === 'configuration') {
      configuration.offer(message, this.peerAddress)
    } else if (message.kind === 'configurationHeld') {
      this._compareConfiguration(message)
    } else if (message.kind === 'refresh') {
      this._answerRefresh(message)
    } else if (message.kind === 'configurationWanted') {
      this.sendConfiguration(message)
    }
    this._onDidReceive.fire(message)
  }
}

export interface DialOptions extends Omit<PeerLinkOptions, 'connection'> {
  readonly address: string
  /** The address that the connection leaves from. */
  readonly localAddress?: string
  readonly timeoutMs?: number
}

const DEFAULT_DIAL_TIMEOUT_MS = 500

/** Opens a link; rejects with a typed error when the other side cannot be reached. */
export function dialPeer (options: DialOptions): Promise<PeerLink> {
  const address = parseAddress(options.address)
  return new Promise((resolve, reject) => {
    const fail = (message: string) => reject(new PepperwoodError({ name: 'upstreamUnreachable', message, place: options.address }))
    if (address === undefined) return fail('bad address')
    const socket = connect({ host: address.host, port: address.port, localAddress: options.localAddress })
    const timer = setTimeout(() => socket.destroy(new Error('connect timeout')), options.timeoutMs ?? DEFAULT_DIAL_TIMEOUT_MS)
    const onFail = (error: Error) => {
      clearTimeout(timer)
      fail(error.message)
    }
    socket.once('error', onFail)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', onFail)
      resolve(new PeerLink({ ...options, connection: new FrameConnection(socket) }))
    })
  })
}
