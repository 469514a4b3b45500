/**
 * Checkpoints: what a caller keeps for a request so that any gate continues it from the last finished stage.
 * They are sealed with HMAC-SHA256 and name the customer, the request's content and the stages, so that a
 * changed, foreign or outdated one is refused.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Either as EffectEither, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const FORMAT = 1
const FORMAT_BYTES = 1
const MAC_BYTES = 32
export const MAX_CHECKPOINT_BYTES = 512 * 1024

const CheckpointBody = Schema.Struct({
  customer: Schema.String,
  pipeline: Schema.String,
  /** The names of the pipeline's stages, in order. */
  stages: Schema.Array(Schema.String),
  contentDigest: Schema.String,
  stagesDone: Schema.Number,
  /** The result of the last finished stage. */
  result: Schema.String
})

export type CheckpointContent = typeof CheckpointBody.Type

/** What a checkpoint must match to be continued. */
export type CheckpointSubject = Omit<CheckpointContent, 'stagesDone' | 'result'>

const decode = Schema.decodeUnknownEither(CheckpointBody)

function createInvalid (message: string): PepperwoodError {
  return new PepperwoodError({ name: 'checkpointInvalid', message, place: 'checkpoint' })
}

export interface CheckpointSealOptions {
  readonly key: string
  /** Accepted but no longer used for sealing, while keys are being changed. */
  readonly previousKey?: string
}

export class CheckpointSeal {
  private readonly _keys: readonly string[]

  constructor (options: CheckpointSealOptions) {
    this._keys = options.previousKey === undefined ? [options.key] : [options.key, options.previousKey]
  }

  /** Undefined when the checkpoint would be too large to hand out. */
  seal (content: CheckpointContent): Uint8Array | undefined {
    const body = Buffer.from(JSON.stringify(content))
    if (FORMAT_BYTES + MAC_BYTES + body.length > MAX_CHECKPOINT_BYTES) return undefined
    return Buffer.concat([Buffer.from([FORMAT]), this._sign(this._keys[0] ?? '', body), body])
  }

  open (sealed: Uint8Array, subject: CheckpointSubject): Either<PepperwoodError, CheckpointContent> {
    const bytes = Buffer.from(sealed)
    if (bytes.length > MAX_CHECKPOINT_BYTES) return Left(createInvalid('too large'))
    if (bytes.length <= FORMAT_BYTES + MAC_BYTES) return Left(createInvalid('too short'))
    if (bytes[0] !== FORMAT) return Left(createInvalid(`format ${bytes[0]} is not read here`))
    const mac = bytes.subarray(FORMAT_BYTES, FORMAT_BYTES + MAC_BYTES)
    const body = bytes.subarray(FORMAT_BYTES + MAC_BYTES)
    if (!this._keys.some(key => timingSafeEqual(mac, this._sign(key, body)))) return Left(createInvalid('the seal does not match'))
    return parseContent(body).chain(content => matchSubject(content, subject))
  }

  private _sign (key: string, body: Buffer): Buffer {
    return createHmac('sha256', key).update(Buffer.from([FORMAT])).update(body).digest()
  }
}

function parseContent (body: Buffer): Either<PepperwoodError, CheckpointContent> {
  try {
    const decoded = decode(JSON.parse(body.toString('utf8')))
    return EffectEither.isRight(decoded) ? Right(decoded.right) : Left(createInvalid('wrong fields'))
  } catch {
    return Left(createInvalid('unreadable'))
  }
}

function matchSubject (content: CheckpointContent, subject: CheckpointSubject): Either<PepperwoodError, CheckpointContent> {
  if (content.customer !== subject.customer) return Left(createInvalid('it belongs to another customer'))
  if (content.contentDigest !== subject.contentDigest) return Left(createInvalid('it belongs to another request'))
  const isSamePipeline = content.pipeline === subject.pipeline && content.stages.join('\n') === subject.stages.join('\n')
  if (!isSamePipeline) return Left(createInvalid('the pipeline has changed since'))
  if (content.stagesDone < 1 || content.stagesDone >= content.stages.length) return Left(createInvalid('no stage is left to run'))
  return Right(content)
}
