/**
 * Signs and verifies checkpoints. A caller stores the checkpoint of a request, and any gate can resume the request from
 * the last finished stage. A checkpoint is signed with HMAC-SHA256 and contains the customer, the digest of the request's
 * content and the stages, so a checkpoint that was modified, belongs to another request or is outdated is refused.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Either as EffectEither, Schema } from 'effect'
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'

const FORMAT_VERSION = 1
const FORMAT_VERSION_BYTES = 1
const MAC_BYTES = 32
export const MAX_CHECKPOINT_BYTES = 512 * 1024

const CheckpointBody = Schema.Struct({
  customer: Schema.String,
  pipeline: Schema.String,
  /** Names of the stages of the pipeline, in order. */
  stages: Schema.Array(Schema.String),
  contentDigest: Schema.String,
  stagesDone: Schema.Number,
  /** The result of the last finished stage. */
  result: Schema.String
})

export type CheckpointContent = typeof CheckpointBody.Type

/** The values that a checkpoint must match to be accepted. */
export type ExpectedCheckpoint = Omit<CheckpointContent, 'stagesDone' | 'result'>

const decodeBody = Schema.decodeUnknownEither(CheckpointBody)

function createInvalidError (message: string): PepperwoodError {
  return new PepperwoodError({ name: 'checkpointInvalid', message, place: 'checkpoint' })
}

export interface CheckpointSignerOptions {
  readonly key: string
  /** During a key rotation: accepted for verification, not used for signing. */
  readonly previousKey?: string
}

export class CheckpointSigner {
  private readonly _keys: readonly string[]

  constructor (options: CheckpointSignerOptions) {
    this._keys = options.previousKey === undefined ? [options.key] : [options.key, options.previousKey]
  }

  /** Returns the signed checkpoint, or undefined if it would exceed `MAX_CHECKPOINT_BYTES`. */
  sign (content: CheckpointContent): Uint8Array | undefined {
    const body = Buffer.from(JSON.stringify(content))
    if (FORMAT_VERSION_BYTES + MAC_BYTES + body.length > MAX_CHECKPOINT_BYTES) return undefined
    return Buffer.concat([Buffer.from([FORMAT_VERSION]), this._computeMac(this._keys[0] ?? '', body), body])
  }

  verify (signedCheckpoint: Uint8Array, expected: ExpectedCheckpoint): Either<PepperwoodError, CheckpointContent> {
    const bytes = Buffer.from(signedCheckpoint)
    if (bytes.length > MAX_CHECKPOINT_BYTES) return Left(createInvalidError('too large'))
    if (bytes.length <= FORMAT_VERSION_BYTES + MAC_BYTES) return Left(createInvalidError('too short'))
    if (bytes[0] !== FORMAT_VERSION) return Left(createInvalidError(`format version ${bytes[0]} is not supported`))
    const mac = bytes.subarray(FORMAT_VERSION_BYTES, FORMAT_VERSION_BYTES + MAC_BYTES)
    const body = bytes.subarray(FORMAT_VERSION_BYTES + MAC_BYTES)
    if (!this._keys.some(key => timingSafeEqual(mac, this._computeMac(key, body)))) return Left(createInvalidError('the signature does not match'))
    return parseContent(body).chain(content => validateContent(content, expected))
  }

  private _computeMac (key: string, body: Buffer): Buffer {
    return createHmac('sha256', key).update(Buffer.from([FORMAT_VERSION])).update(body).digest()
  }
}

function parseContent (body: Buffer): Either<PepperwoodError, CheckpointContent> {
  try {
    const decoded = decodeBody(JSON.parse(body.toString('utf8')))
    return EffectEither.isRight(decoded) ? Right(decoded.right) : Left(createInvalidError('fields are missing or have the wrong type'))
  } catch {
    return Left(createInvalidError('the body is not valid JSON'))
  }
}

function validateContent (content: CheckpointContent, expected: ExpectedCheckpoint): Either<PepperwoodError, CheckpointContent> {
  if (content.customer !== expected.customer) return Left(createInvalidError('issued for another customer'))
  if (content.contentDigest !== expected.contentDigest) return Left(createInvalidError('issued for another request'))
  const isSamePipeline = content.pipeline === expected.pipeline && content.stages.join('\n') === expected.stages.join('\n')
  if (!isSamePipeline) return Left(createInvalidError('the pipeline has changed since the checkpoint was issued'))
  if (content.stagesDone < 1 || content.stagesDone >= content.stages.length) return Left(createInvalidError('the number of finished stages is out of range'))
  return Right(content)
}
