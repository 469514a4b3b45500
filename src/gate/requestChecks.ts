/**
 * What a request must satisfy before it is considered at all.
 */
import { Left, Right } from 'purify-ts'
import type { Either } from 'purify-ts'
import { hashSha256, isSameDigest } from '../base/node/digest.ts'
import type { Customer, OpenSessionRequest, Pipeline, SubmitRequest } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AcceptedConfiguration } from '../services/configuration/common/configurationService.ts'
import { resolvePipeline } from '../services/pipeline/common/resolvePipeline.ts'
import { PepperwoodError } from '../services/result/common/pepperwoodError.ts'
import type { ResultName } from '../services/result/common/resultCodes.ts'
import type { RequestRun } from '../services/session/common/requestRun.ts'
import type { Session } from '../services/session/common/sessionService.ts'
import type { CheckpointContent, CheckpointSigner } from '../services/session/node/checkpointSigner.ts'

/** What was found for a request that may be considered. */
export interface CheckedSubmission {
  readonly accepted: AcceptedConfiguration
  readonly customer: Customer
  readonly pipeline: Pipeline
  readonly checkpoint: CheckpointContent | undefined
}

/** The largest input, in UTF-16 units. */
const MAX_INPUT_LENGTH = 1024 * 1024

export function createError (name: ResultName, message: string, place: string, value: string): PepperwoodError {
  return new PepperwoodError({ name, message, place, value })
}

/** What makes two submissions the same request; the time left and the checkpoint may differ. */
export function digestContent (request: SubmitRequest): string {
  return hashSha256(JSON.stringify([request.pipeline, request.input, request.unrepeatable]))
}

/** Whose key it is; the comparison takes the same time wherever the digests differ. */
export function checkKey (request: OpenSessionRequest, accepted: AcceptedConfiguration | undefined): Either<PepperwoodError, Customer> {
  const customer = accepted?.configuration.customers.find(item => item.name === request.customer)
  if (customer === undefined) return Left(createError('customerUnknown', 'no such customer', 'customer', request.customer))
  if (!isSameDigest(hashSha256(request.key), customer.keySha256)) return Left(createError('keyWrong', 'the key is not the customer\'s', 'key', ''))
  return Right(customer)
}

export function checkSubmission (request: SubmitRequest, run: RequestRun, accepted: AcceptedConfiguration | undefined, seal: CheckpointSigner): Either<PepperwoodError, CheckedSubmission> {
  if (accepted === undefined) return Left(createError('gateNotReady', 'no configuration yet', '', ''))
  if (request.input.length > MAX_INPUT_LENGTH) return Left(createError('requestTooLarge', `expected at most ${MAX_INPUT_LENGTH} characters`, 'input', String(request.input.length)))
  const customer = accepted.configuration.customers.find(item => item.name === run.customer)
  if (customer === undefined) return Left(createError('customerUnknown', 'the customer is no longer configured', 'session', run.customer))
  const pipeline = resolvePipeline(accepted.configuration, request.pipeline)
  if (pipeline === undefined) return Left(createError('pipelineUnknown', 'no such pipeline', 'pipeline', request.pipeline))
  const isForbidden = customer.pipelines.length > 0 && !customer.pipelines.includes(pipeline.name)
  if (isForbidden) return Left(createError('pipelineForbidden', 'the customer may not use this pipeline', 'pipeline', request.pipeline))
  return openCheckpoint(request, run, pipeline, seal).map(checkpoint => ({ accepted, customer, pipeline, checkpoint }))
}

/**
 * A session tells its caller which pipelines may be submitted anew. Where the configuration has changed since, so that
 * a pipeline must not, the caller needs a new session before anything runs.
 */
export function checkPromise (request: SubmitRequest, pipeline: Pipeline, session: Session | undefined): Either<PepperwoodError, void> {
  const isPromised = session?.repeatablePipelines.has(pipeline.name) === true
  const isBroken = isPromised && !request.unrepeatable && pipeline.stages.some(stage => stage.unrepeatable)
  if (!isBroken) return Right(undefined)
  return Left(createError('sessionOutdated', 'the pipeline must not be submitted anew any more: open a new session', 'pipeline', pipeline.name))
}

function openCheckpoint (request: SubmitRequest, run: RequestRun, pipeline: Pipeline, seal: CheckpointSigner): Either<PepperwoodError, CheckpointContent | undefined> {
  if (request.checkpoint.length === 0) return Right(undefined)
  if (request.unrepeatable || pipeline.stages.some(stage => stage.unrepeatable)) {
    return Left(createError('checkpointInvalid', 'a checkpoint continues repeatable work only', 'checkpoint', ''))
  }
  return seal.verify(request.checkpoint, {
    customer: run.customer,
    pipeline: pipeline.name,
    stages: pipeline.stages.map(stage => stage.name),
    contentDigest: run.contentDigest
  })
}
