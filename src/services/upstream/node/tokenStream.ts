/**
 * Reads the server-sent events of a generation: tokens in order, then an end event.
 */
import type { IncomingMessage } from 'node:http'
import { createParser } from 'eventsource-parser'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import type { UpstreamCall, UpstreamOutcome } from '../common/upstreamAdapter.ts'
import { EndEvent, ErrorAnswer, parseBody, parseToken } from './upstreamMessages.ts'

/** Follows one stream; ends at the end event, at the first wrong event, or when the connection breaks. */
export class TokenStreamReader {
  private _nextIndex: number
  private readonly _texts: string[] = []
  private _outcome: UpstreamOutcome | undefined

  constructor (private readonly _call: UpstreamCall) {
    this._nextIndex = _call.offset
  }

  /** After the end event the rest of the response is read in the background, so that its connection can be used again. */
  read (response: IncomingMessage): Promise<UpstreamOutcome> {
    const parser = createParser({
      onEvent: event => { if (this._outcome === undefined) this._take(event.event ?? '', event.data) }
    })
    response.setEncoding('utf8')
    return new Promise(resolve => {
      response.on('data', (part: string) => {
        if (this._outcome !== undefined) return
        parser.feed(part)
        const outcome = this._getOutcome()
        if (outcome === undefined) return
        if (outcome.kind !== 'answered') response.destroy()
        resolve(outcome)
      })
      // The connection broke: what arrived so far was handed over, and the outcome says the rest.
      response.on('error', () => {})
      response.on('close', () => resolve(this._outcome ?? this._createLost('upstreamConnectionLost', `the stream ended after token ${this._nextIndex}`)))
    })
  }

  private _getOutcome (): UpstreamOutcome | undefined {
    return this._outcome
  }

  private _take (kind: string, data: string): void {
    if (kind === 'token') this._takeToken(data)
    else if (kind === 'end') this._takeEnd(data)
    else if (kind === 'error') this._takeError(data)
    else this._outcome = this._createLost('upstreamAnswerInvalid', `unknown event ${kind}`)
  }

  private _takeToken (data: string): void {
    parseToken(data, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: token => {
        if (token.attempt !== this._call.attemptId) this._outcome = this._createLost('upstreamAnswerForeign', token.attempt)
        else if (token.index > this._nextIndex) this._outcome = this._createLost('upstreamAnswerInvalid', `token ${token.index} came before token ${this._nextIndex}`)
        else if (token.index === this._nextIndex) this._accept(token.text)
      }
    })
  }

  private _accept (text: string): void {
    this._texts.push(text)
    this._call.onDidReceiveText(text, this._nextIndex)
    this._nextIndex++
  }

  private _takeEnd (data: string): void {
    parseBody(data, EndEvent, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: end => {
        if (end.attempt !== this._call.attemptId) this._outcome = this._createLost('upstreamAnswerForeign', end.attempt)
        else if (end.count !== this._nextIndex) this._outcome = this._createLost('upstreamAnswerInvalid', `the end counts ${end.count} tokens, ${this._nextIndex} came`)
        else this._outcome = { kind: 'answered', text: this._texts.join(''), tokenCount: end.count, busyMs: end.busyMs, cachedTokens: end.cachedTokens }
      }
    })
  }

  private _takeError (data: string): void {
    parseBody(data, ErrorAnswer, this._call.upstream.name).caseOf({
      Left: error => { this._outcome = { kind: 'lost', error } },
      Right: answer => {
        const error = new PepperwoodError({ name: 'upstreamFailed', message: answer.error, place: this._call.upstream.name })
        this._outcome = { kind: 'failed', error, busyMs: answer.busyMs }
      }
    })
  }

  private _createLost (name: ResultName, message: string): UpstreamOutcome {
    return { kind: 'lost', error: new PepperwoodError({ name, message, place: this._call.upstream.name }) }
  }
}
