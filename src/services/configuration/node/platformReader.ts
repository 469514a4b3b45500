/**
 * A read-only client of the platform's configuration service that reads and watches values.
 */
import { Either as EffectEither, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { startExchange } from '../../upstream/node/httpExchange.ts'
import { IdleGuardAgent } from '../../upstream/node/idleGuardAgent.ts'
import { readBody } from '../../upstream/node/responseBody.ts'

const ValueAnswer = Schema.Struct({
  revision: Schema.Number.pipe(Schema.int(), Schema.nonNegative()),
  value: Schema.String
})

/** A value stored by the platform, with the revision of its last write. */
export type PlatformValue = typeof ValueAnswer.Type

export interface PlatformReaderOptions {
  /** Addresses of the platform's service; after a failed call the next one is used. */
  readonly addresses: readonly string[]
  readonly localAddress?: string
  readonly onDidCompleteCall?: (isOk: boolean) => void
  readonly timeoutMs?: number
}

const NO_CONTENT_STATUS = 204
/** Bound of an answer; a value is sent as a JSON string. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024
/** The revision, the names of the fields and the punctuation of an answer. */
const MAX_ENVELOPE_BYTES = 1024

export class PlatformReader {
  private readonly _options: PlatformReaderOptions
  private readonly _agent = new IdleGuardAgent({ keepAlive: true })
  private _addressIndex = 0

  constructor (options: PlatformReaderOptions) {
    this._options = options
  }

  /**
   * Reads a value. With a wait time, the call is a long poll: it returns when the value has a revision above the given
   * one or the time is over. Returns undefined if there is no newer value.
   */
  async read (key: string, afterRevision = 0, waitMs = 0): Promise<Either<PepperwoodError, PlatformValue | undefined>> {
    const address = this._options.addresses[this._addressIndex % this._options.addresses.length] ?? ''
    const result = await this._readFrom(address, `/v1/values/${key}?after=${afterRevision}&wait_ms=${waitMs}`, waitMs)
    this._options.onDidCompleteCall?.(result.isRight())
    if (result.isLeft()) this._addressIndex++
    return result
  }

  private async _readFrom (address: string, path: string, waitMs: number): Promise<Either<PepperwoodError, PlatformValue | undefined>> {
    const start = await startExchange({
      address,
      method: 'GET',
      path,
      agent: this._agent,
      localAddress: this._options.localAddress,
      connectTimeoutMs: 500,
      signal: AbortSignal.timeout(waitMs + (this._options.timeoutMs ?? 2000))
    })
    if (start.kind !== 'response') return Left(createUnreachableError(start.reason, address))
    const body = await readBody(start, MAX_ANSWER_BYTES)
    if (start.response.statusCode === NO_CONTENT_STATUS) return Right(undefined)
    if (body === undefined || start.response.statusCode !== 200) return Left(createUnreachableError(`status ${start.response.statusCode}`, address))
    return parseAnswer(body, address)
  }

  dispose (): void {
    this._agent.destroy()
  }
}

/** Whether a value fits into an answer, so that `PlatformReader` can read it. */
export function isReadableValue (value: string): boolean {
  return Buffer.byteLength(JSON.stringify(value)) <= MAX_ANSWER_BYTES - MAX_ENVELOPE_BYTES
}

function parseAnswer (body: string, address: string): Either<PepperwoodError, PlatformValue> {
  try {
    const decoded = Schema.decodeUnknownEither(ValueAnswer)(JSON.parse(body))
    if (EffectEither.isRight(decoded)) return Right(decoded.right)
  } catch {
    // Not JSON: reported below like any other invalid answer.
  }
  return Left(new PepperwoodError({ name: 'upstreamAnswerInvalid', message: 'expected a revision and a value', place: address, value: body }))
}

function createUnreachableError (message: string, place: string): PepperwoodError {
  return new PepperwoodError({ name: 'upstreamUnreachable', message, place })
}
