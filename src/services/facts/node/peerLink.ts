/**
 * A link to another process of the system. It sends the facts that are new to the peer, and exchanges the configuration.
 */
import { connect } from 'node:net'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { parseAddress } from '../../../base/common/address.ts'
import { FrameConnection } from '../../../base/node/frameConnection.ts'
import { compareConfigurationStamps } from '../../configuration/common/configurationNumber.ts'
import type { ConfigurationStamp } from '../../configuration/common/configurationNumber.ts'
import type { ConfigurationText } from '../../configuration/common/configurationDocument.ts'
import type { IConfigurationService } from '../../configuration/common/configurationService.ts'
import { createDocumentPart, DocumentAssembler, MAX_WHOLE_BYTES } from '../../configuration/common/documentParts.ts'
import type { DocumentPart } from '../../configuration/common/documentParts.ts'
import type { FetchDeduplicator } from '../../configuration/common/fetchDeduplicator.ts'
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
  /** Shared by all links of the process. */
  readonly fetchGuard: FetchDeduplicator
  readonly log: ILogService
  /** The first message of this side. */
  readonly hello: Extract<WireMessage, { readonly kind: 'hello' }>
  /** Whether the local configuration may be shared already. */
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
  /** The sequence number of the fact store when the link opened. */
  private readonly _sequenceAtOpen: number
  /** All facts up to this sequence number were sent. */
  private _syncedSequence = 0
  /** The highest sequence number that was sent. Some facts between the two numbers may still be unsent. */
  private _sentSequence = 0
  private readonly _assembler = new DocumentAssembler()
  private readonly _onDidReceive = this._register(new Emitter<WireMessage>())
  private readonly _onDidClose = this._register(new Emitter<void>())
  /** Fired for every valid message, after the link itself has handled it. */
  readonly onDidReceive = this._onDidReceive.event
  readonly onDidClose = this._onDidClose.event

  constructor (options: PeerLinkOptions) {
    super()
    this._options = options
    this._sequenceAtOpen = options.facts.sequence
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

  /** Empty until the peer's hello has arrived. */
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

  /** The sequence number of the fact store when facts were last sent. */
  get sentSequence (): number {
    return this._sentSequence
  }

  get isClosed (): boolean {
    return this._options.connection.isClosed
  }

  send (message: WireMessage): void {
    this._options.connection.send(message)
  }

  /** Sends a message that `createFrame` has encoded. */
  sendFrame (frame: Buffer): void {
    this._options.connection.sendFrame(frame)
  }

  /** Sends all facts learned since the last call of this method; `sendRecentFacts` may have sent some of them already. */
  sendNewFacts (): void {
    const { facts } = this._options
    this._sendSince(this._syncedSequence)
    this._syncedSequence = facts.sequence
  }

  /** Sends the facts learned after a sequence number that were not sent yet; older ones are left to `sendNewFacts`. */
  sendRecentFacts (since: number): void {
    this._sendSince(Math.max(since, this._sentSequence, this._syncedSequence))
  }

  private _sendSince (sequence: number): void {
    const { facts } = this._options
    this._sentSequence = facts.sequence
    if (facts.sequence === sequence) return
    this.sendFacts(facts.listSince(sequence, this.peerAddress, this._sequenceAtOpen))
  }

  /** Sends facts even if they were sent before. */
  sendFacts (facts: readonly Fact[]): void {
    for (let start = 0; start < facts.length; start += MAX_FACTS_PER_FRAME) {
      this.send({ kind: 'facts', facts: facts.slice(start, start + MAX_FACTS_PER_FRAME) })
    }
  }

  /** Sends the number of the local configuration. The peer requests that configuration, or announces its own if that is higher. */
  announceConfiguration (): void {
    if (!this._options.mayShareConfiguration() && this._options.configuration.current !== undefined) return
    this.send({ kind: 'configurationHeld', ...this._getLocalStamp() })
  }

  /** Requests all facts and a higher configuration from the peer; the answer ends with `refreshed` and the same id. */
  askForRefresh (id: number): void {
    this.send({ kind: 'refresh', id, ...this._getLocalStamp() })
  }

  /** Sends the local configuration if it is higher than the one of the peer. */
  sendConfiguration (peerStamp: ConfigurationStamp): void {
    const current = this._options.configuration.current
    if (current === undefined || !this._options.mayShareConfiguration()) return
    if (compareConfigurationStamps(current, peerStamp) <= 0) return
    if (Buffer.byteLength(current.text) <= MAX_WHOLE_BYTES) this.send({ kind: 'configuration', text: current.text, revision: current.revision })
    else this.send({ kind: 'configurationPart', ...createDocumentPart(current, 0) })
  }

  /** Sends a part of the local configuration; if that has been replaced meanwhile, announces the new one instead. */
  private _sendPart ({ offset, ...wanted }: ConfigurationStamp & { readonly offset: number }): void {
    const current = this._options.configuration.current
    if (current === undefined || compareConfigurationStamps(current, wanted) !== 0) return this.announceConfiguration()
    this.send({ kind: 'configurationPart', ...createDocumentPart(current, offset) })
  }

  private _receivePart (part: DocumentPart): void {
    const { number, revision } = part
    const step = this._assembler.add(part)
    if (step?.kind === 'complete') return this._offerConfiguration(step.document)
    if (step === undefined) return
    this._options.fetchGuard.recordProgress()
    this.send({ kind: 'configurationPartWanted', number, revision, offset: step.offset })
  }

  private _offerConfiguration (document: ConfigurationText): void {
    this._options.configuration.offer(document, this.peerAddress).ifLeft(error => {
      if (error.resultName === 'configurationNotHigher') return
      this._options.log.warn('configuration_refused', { code: error.code, reason: error.message, place: error.place, value: error.value, peer: this.peerAddress })
    })
  }

  /**
   * Announces the local configuration if it is higher, or requests the peer's if that is higher, unless the process
   * already requests that configuration over another link. If configurations were sent unrequested, a new
   * one would arrive from every peer: in a fleet of 78 members that saturated slow links for seconds.
   */
  private _compareConfiguration (peerStamp: ConfigurationStamp): void {
    const localStamp = this._getLocalStamp()
    if (compareConfigurationStamps(peerStamp, localStamp) < 0) this.announceConfiguration()
    else if (this._options.fetchGuard.tryBeginFetch(peerStamp, localStamp)) this.send({ kind: 'configurationWanted', ...localStamp })
  }

  private _answerRefresh (request: ConfigurationStamp & { readonly id: number }): void {
    this.sendNewFacts()
    this.sendConfiguration(request)
    this.send({ kind: 'refreshed', id: request.id })
  }

  private _getLocalStamp (): ConfigurationStamp {
    const { current, number } = this._options.configuration
    return { number, revision: current?.revision ?? 0 }
  }

  private _receive (frame: unknown): void {
    checkMessage(frame).caseOf({
      Left: error => this._rejectFrame(error),
      Right: message => this._handleMessage(message)
    })
  }

  /** Skips a message of an unknown kind. Closes the link on an invalid one, since nothing after it can be trusted. */
  private _rejectFrame (error: PepperwoodError): void {
    this._options.log.warn('frame_refused', { code: error.resultName, place: error.place, peer: this.peerAddress })
    if (error.resultName !== 'messageUnknown') this.dispose()
  }

  private _handleMessage (message: WireMessage): void {
    const { facts } = this._options
    if (message.kind === 'hello') {
      this._peer = message
    } else if (message.kind === 'facts') {
      for (const fact of message.facts) facts.merge(fact, this.peerAddress)
    } else if (message.kind === 'configuration') {
      this._offerConfiguration(message)
    } else if (message.kind === 'configurationPart') {
      this._receivePart(message)
    } else if (message.kind === 'configurationPartWanted') {
      this._sendPart(message)
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
  /** The local address of the connection. */
  readonly localAddress?: string
  readonly timeoutMs?: number
}

const DEFAULT_DIAL_TIMEOUT_MS = 500

/** Opens a link; rejects with a `PepperwoodError` if the peer cannot be reached. */
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
