/**
 * Reads the server-sent events of a generation: tokens in order, then an end event.
 */
import type { IncomingMessage } from 'node:http'
import { createParser } from 'eventsource-parser'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import type { UpstreamCall, UpstreamOutcome } from '../common/upstreamAdapter.ts'
import { drainBody } from './responseBody.ts'
import { EndEvent, ErrorAnswer, parseBody, parseToken } from './upstreamMessages.ts'

/** Streams that are longer, or have a longer event, are given up. */
const MAX_STREAM_BYTES = 16 * 1024 * 1024
const MAX_EVENT_BYTES = 64 * 1024

/** Reads one stream until the end event, the first invalid event, or the loss of the connection. */
export class TokenStreamReader {
  private _nextIndex: number
  private _receivedBytes = 0
  /** Bytes received since the last complete event. */
  private _pendingBytes = 0
  private readonly _texts: string[] = []
  private _outcome: UpstreamOutcome | undefined

  constructor (private readonly _call: UpstreamCall) {
    this._nextIndex = _call.offset
  }

  /** After the end event the rest of the response is drained in the background. */
  read (response: IncomingMessage): Promise<UpstreamOutcome> {
    const parser = createParser({
      onEvent: event => {
        this._pendingBytes = 0
        if (this._outcome === undefined) this._processEvent(event.event ?? '', event.data)
      }
    })
    response.setEncoding('utf8')
    return new Promise(resolve => {
      response.on('data', (chunk: string) => {
        if (this._outcome !== undefined) return
        this._receivedBytes += chunk.length
        this._pendingBytes += chunk.length
        parser.feed(chunk)
        if (this._receivedBytes > MAX_STREAM_BYTES || this._pendingBytes > MAX_EVENT_BYTES) this._outcome ??= this._createLostOutcome('upstreamAnswerInvalid', 'the stream is too long')
        const outcome = this._getOutcome()
        if (outcome === undefined) return
        if (outcome.kind === 'answered') drainBody(response)
        else response.destroy()
        resolve(outcome)
      })
      // The connection was lost. Text received so far has been delivered; 'close' resolves the outcome.
      response.on('error', () => {})
      response.on('close', () => resolve(this._outcome ?? this._createLostOutcome('upstreamConnectionLost', `the stream ended after token ${this._nextIndex}`)))
    })
  }

  private _getOutcome (): UpstreamOutcome | undefined {
    return this._outcome
  }

  private _processEvent (kind: string, data: string): void {
    if (kind === 'token') this._processToken(data)
    else if (kind === 'end') this._processEnd(data)
    else if (kind === 'error') this._processError(data)
    else this._outcome = this._createLostOutcome('upstreamAnswerInvalid', `unknown event ${kind}`)
  }

  private _processToken (data: string): void {
    parseToken(data, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: token => {
        if (token.attempt !== this._call.attemptId) this._outcome = this._createLostOutcome('upstreamAnswerForeign', token.attempt)
        else if (token.index > this._nextIndex) this._outcome = this._createLostOutcome('upstreamAnswerInvalid', `received token ${token.index} instead of token ${this._nextIndex}`)
        else if (token.index === this._nextIndex) this._appendToken(token.text)
      }
    })
  }

  private _appendToken (text: string): void {
    this._texts.push(text)
    this._call.onDidReceiveText(text, this._nextIndex)
    this._nextIndex++
  }

  private _processEnd (data: string): void {
    parseBody(data, EndEvent, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: end => {
        if (end.attempt !== this._call.attemptId) this._outcome = this._createLostOutcome('upstreamAnswerForeign', end.attempt)
        else if (end.count !== this._nextIndex) this._outcome = this._createLostOutcome('upstreamAnswerInvalid', `the end event counts ${end.count} tokens, ${this._nextIndex} were received`)
        else this._outcome = { kind: 'answered', text: this._texts.join(''), tokenCount: end.count, busyMs: end.busyMs, cachedTokens: end.cachedTokens }
      }
    })
  }

  private _processError (data: string): void {
    parseBody(data, ErrorAnswer, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: answer => {
        const error = new PepperwoodError({ name: 'upstreamFailed', message: answer.error, place: this._call.upstream.name })
        this._outcome = { kind: 'failed', error, busyMs: answer.busyMs }
      }
    })
  }

  private _createLostOutcome (name: ResultName, message: string): UpstreamOutcome {
    return { kind: 'lost', error: new PepperwoodError({ name, message, place: this._call.upstream.name }) }
  }
}
