/**
 * Checks that a request must pass before its admission is decided.
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

/** A submission that passed its checks, with the configuration that applies to it. */
export interface CheckedSubmission {
  readonly accepted: AcceptedConfiguration
  readonly customer: Customer
  readonly pipeline: Pipeline
  readonly checkpoint: CheckpointContent | undefined
}

/** In UTF-16 code units. */
const MAX_INPUT_LENGTH = 1024 * 1024

export function createError (name: ResultName, message: string, place: string, value: string): PepperwoodError {
  return new PepperwoodError({ name, message, place, value })
}

/** Returns a digest that is equal for submissions of the same request; their time left and checkpoint may differ. */
export function digestContent (request: SubmitRequest): string {
  return hashSha256(JSON.stringify([request.pipeline, request.input, request.unrepeatable]))
}

/** Returns the customer if the key is correct. Digests are compared in constant time. */
export function checkCustomerKey (request: OpenSessionRequest, accepted: AcceptedConfiguration | undefined): Either<PepperwoodError, Customer> {
  const customer = accepted?.configuration.customers.find(item => item.name === request.customer)
  if (customer === undefined) return Left(createError('customerUnknown', 'no such customer', 'customer', request.customer))
  if (!isSameDigest(hashSha256(request.key), customer.keySha256)) return Left(createError('keyWrong', 'the key does not match the customer', 'key', ''))
  return Right(customer)
}

export function checkSubmission (request: SubmitRequest, run: RequestRun, accepted: AcceptedConfiguration | undefined, checkpointSigner: CheckpointSigner): Either<PepperwoodError, CheckedSubmission> {
  if (accepted === undefined) return Left(createError('gateNotReady', 'no configuration has been accepted yet', '', ''))
  if (request.input.length > MAX_INPUT_LENGTH) return Left(createError('requestTooLarge', `expected at most ${MAX_INPUT_LENGTH} characters`, 'input', String(request.input.length)))
  const customer = accepted.configuration.customers.find(item => item.name === run.customer)
  if (customer === undefined) return Left(createError('customerUnknown', 'the customer is no longer configured', 'session', run.customer))
  const pipeline = resolvePipeline(accepted.configuration, request.pipeline)
  if (pipeline === undefined) return Left(createError('pipelineUnknown', 'no such pipeline', 'pipeline', request.pipeline))
  const isForbidden = customer.pipelines.length > 0 && !customer.pipelines.includes(pipeline.name)
  if (isForbidden) return Left(createError('pipelineForbidden', 'the customer may not use this pipeline', 'pipeline', request.pipeline))
  return verifyCheckpoint(request, run, pipeline, checkpointSigner).map(checkpoint => ({ accepted, customer, pipeline, checkpoint }))
}

/**
 * A session lists the pipelines whose requests its caller may resubmit. If a configuration change has since made a
 * pipeline unrepeatable, the caller must open a new session before anything runs.
 */
export function checkSessionUpToDate (request: SubmitRequest, pipeline: Pipeline, session: Session | undefined): Either<PepperwoodError, void> {
  const isRepeatableInSession = session?.repeatablePipelines.has(pipeline.name) === true
  const isOutdated = isRepeatableInSession && !request.unrepeatable && pipeline.stages.some(stage => stage.unrepeatable)
  if (!isOutdated) return Right(undefined)
  return Left(createError('sessionOutdated', 'requests of this pipeline may no longer be resubmitted; open a new session', 'pipeline', pipeline.name))
}

function verifyCheckpoint (request: SubmitRequest, run: RequestRun, pipeline: Pipeline, checkpointSigner: CheckpointSigner): Either<PepperwoodError, CheckpointContent | undefined> {
  if (request.checkpoint.length === 0) return Right(undefined)
  if (request.unrepeatable || pipeline.stages.some(stage => stage.unrepeatable)) {
    return Left(createError('checkpointInvalid', 'only repeatable requests can resume from a checkpoint', 'checkpoint', ''))
  }
  return checkpointSigner.verify(request.checkpoint, {
    customer: run.customer,
    pipeline: pipeline.name,
    stages: pipeline.stages.map(stage => stage.name),
    contentDigest: run.contentDigest
  })
}
