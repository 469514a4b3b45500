/**
 * Adapter for the upstream protocol of docs/UPSTREAMS.md: HTTP/1.1 with JSON bodies and server-sent events.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Upstream } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import type { ResultName } from '../../result/common/resultCodes.ts'
import { UpstreamAdapter } from '../common/upstreamAdapter.ts'
import type { UpstreamCall, UpstreamOrder, UpstreamOutcome, UpstreamReport } from '../common/upstreamAdapter.ts'
import { startExchange } from './httpExchange.ts'
import { IdleGuardAgent } from './idleGuardAgent.ts'
import { readBody } from './responseBody.ts'
import type { StartedExchange } from './responseBody.ts'
import { TokenStreamReader } from './tokenStream.ts'
import { ErrorAnswer, LoadReport, OrderAnswer, parseBody, RunAnswer } from './upstreamMessages.ts'

const MAX_ANSWER_BYTES = 4 * 1024 * 1024
const MAX_ERROR_BYTES = 16 * 1024
const OK = 200

export interface HttpUpstreamAdapterOptions {
  /** The local address of outgoing connections. */
  readonly localAddress?: string
  readonly connectTimeoutMs?: number
  /** Timeout of report, cancel and order requests. */
  readonly controlTimeoutMs?: number
}

export class HttpUpstreamAdapter extends UpstreamAdapter {
  private readonly _localAddress: string | undefined
  private readonly _connectTimeoutMs: number
  private readonly _controlTimeoutMs: number
  private readonly _agent = new IdleGuardAgent({ keepAlive: true, scheduling: 'lifo' })

  constructor (options: HttpUpstreamAdapterOptions = {}) {
    super()
    this._localAddress = options.localAddress
    this._connectTimeoutMs = options.connectTimeoutMs ?? 250
    this._controlTimeoutMs = options.controlTimeoutMs ?? 1000
  }

  async call (call: UpstreamCall): Promise<UpstreamOutcome> {
    const isEngine = call.upstream.kind === UpstreamKind.ENGINE
    const { attemptId: attempt, requestId: request, role, model, input, previous, prefixKey, priority, timeLeftMs, offset, produced } = call
    const start = await startExchange({
      address: call.upstream.address,
      method: 'POST',
      path: choosePath(call),
      body: call.isResume
        ? JSON.stringify({ attempt, offset })
        : JSON.stringify({ attempt, request, role, model, input, previous, prefixKey, priority, timeLeftMs, offset, produced }),
      agent: call.isUnrepeatable ? false : this._agent,
      localAddress: this._localAddress,
      connectTimeoutMs: Math.min(this._connectTimeoutMs, timeLeftMs),
      signal: call.signal,
      onWillSend: call.onWillSend
    })
    if (start.kind === 'notSent') return createNotRunOutcome('upstreamUnreachable', start.reason, call.upstream)
    if (start.kind === 'lost') return createLostOutcome('upstreamConnectionLost', start.reason, call.upstream)
    if (start.response.statusCode !== OK) return await this._readErrorAnswer(call, start)
    return isEngine ? await new TokenStreamReader(call).read(start.response) : await this._readAnswer(call, start)
  }

  async cancel (upstream: Upstream, attemptId: string): Promise<void> {
    await this._sendControlRequest(upstream, 'POST', '/v1/cancel', JSON.stringify({ attempt: attemptId }))
  }

  async readReport (upstream: Upstream): Promise<Either<PepperwoodError, UpstreamReport>> {
    const body = await this._sendControlRequest(upstream, 'GET', '/v1/load')
    return body
      .chain(text => parseBody(text, LoadReport, upstream.name))
      .map(({ leaving, ...report }) => ({ ...report, isLeaving: leaving }))
  }

  async sendOrder (upstream: Upstream, order: UpstreamOrder): Promise<Either<PepperwoodError, void>> {
    const body = await this._sendControlRequest(upstream, 'POST', '/v1/orders', JSON.stringify(order))
    return body.chain(text => parseBody(text, OrderAnswer, upstream.name)).chain(answer => answer.accepted
      ? Right(undefined)
      : Left(new PepperwoodError({ name: 'upstreamRefused', message: 'the fencing number of the order is outdated', place: upstream.name, value: String(order.fencing) })))
  }

  private async _sendControlRequest (upstream: Upstream, method: 'GET' | 'POST', path: string, body?: string): Promise<Either<PepperwoodError, string>> {
    const start = await startExchange({
      address: upstream.address,
      method,
      path,
      body,
      agent: this._agent,
      localAddress: this._localAddress,
      connectTimeoutMs: this._connectTimeoutMs,
      signal: AbortSignal.timeout(this._controlTimeoutMs)
    })
    if (start.kind !== 'response') return Left(createError('upstreamUnreachable', start.reason, upstream))
    const text = await readBody(start, MAX_ANSWER_BYTES)
    if (text === undefined) return Left(createError('upstreamConnectionLost', 'the answer was truncated', upstream))
    if (start.response.statusCode !== OK) return Left(createError('upstreamFailed', `status ${start.response.statusCode}`, upstream))
    return Right(text)
  }

  private async _readAnswer (call: UpstreamCall, start: StartedExchange): Promise<UpstreamOutcome> {
    const text = await readBody(start, MAX_ANSWER_BYTES)
    if (text === undefined) return createLostOutcome('upstreamConnectionLost', 'the answer was truncated', call.upstream)
    return parseBody(text, RunAnswer, call.upstream.name).caseOf<UpstreamOutcome>({
      Left: error => ({ kind: 'lost', error }),
      Right: answer => {
        if (answer.attempt !== call.attemptId) {
          start.response.socket.destroy()
          return createLostOutcome('upstreamAnswerForeign', `the answer belongs to attempt ${answer.attempt}`, call.upstream)
        }
        call.onDidReceiveText(answer.output, 0)
        return { kind: 'answered', text: answer.output, tokenCount: 1, busyMs: answer.busyMs, cachedTokens: 0 }
      }
    })
  }

  /** The call is considered not run only if the upstream's answer says so and carries this attempt's id. */
  private async _readErrorAnswer (call: UpstreamCall, start: StartedExchange): Promise<UpstreamOutcome> {
    const text = await readBody(start, MAX_ERROR_BYTES)
    const parsed = parseBody(text ?? '', ErrorAnswer, call.upstream.name)
    const answer = parsed.toMaybe().filter(found => found.attempt === call.attemptId).extractNullable()
    if (answer === null) return createLostOutcome('upstreamAnswerInvalid', `status ${start.response.statusCode}`, call.upstream)
    if (answer.ran) {
      return { kind: 'failed', error: createError('upstreamFailed', answer.error, call.upstream), busyMs: answer.busyMs }
    }
    return {
      kind: 'notRun',
      error: createError('upstreamRefused', answer.error, call.upstream),
      isLeaving: answer.error === 'LEAVING',
      incarnation: answer.boot
    }
  }

  dispose (): void {
    this._agent.destroy()
  }
}

function choosePath (call: UpstreamCall): string {
  if (call.isResume) return '/v1/resume'
  return call.upstream.kind === UpstreamKind.ENGINE ? '/v1/generate' : '/v1/run'
}

function createError (name: ResultName, message: string, upstream: Upstream): PepperwoodError {
  return new PepperwoodError({ name, message, place: upstream.name })
}

function createNotRunOutcome (name: ResultName, message: string, upstream: Upstream): UpstreamOutcome {
  return { kind: 'notRun', error: createError(name, message, upstream), isLeaving: false, incarnation: 0 }
}

function createLostOutcome (name: ResultName, message: string, upstream: Upstream): UpstreamOutcome {
  return { kind: 'lost', error: createError(name, message, upstream) }
}
