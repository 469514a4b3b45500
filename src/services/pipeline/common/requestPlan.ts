/**
 * An accepted request and the part of the configuration that applies to it until it ends.
 */
import type { Pipeline, Stage } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { hashText } from '../../../base/common/rendezvous.ts'

export interface RequestPlan {
  readonly requestId: string
  readonly customer: string
  readonly customerWeight: number
  /** The pipeline of the configuration that was in effect when the request was accepted. Later configurations do not change it. */
  readonly pipeline: Pipeline
  readonly input: string
  readonly contentDigest: string
  readonly prefixKey: string
  readonly isUnrepeatable: boolean
  /** On this process's clock, in milliseconds. */
  readonly deadlineAt: number
  /** Number of stages that an earlier run finished, as stated by its checkpoint; 0 without a checkpoint. */
  readonly stagesDone: number
  /** The result of the last of these stages; empty if there is none. */
  readonly lastStageResult: string
}

/** Number of leading characters in which prompts must agree to count as sharing a cached prefix. */
const PREFIX_LENGTH = 64

/** Returns a key that requests of the same customer with the same start of the input share. Different customers never share a key. */
export function derivePrefixKey (customer: string, input: string): string {
  return hashText(`${customer}\u0000${input.slice(0, PREFIX_LENGTH)}`).toString(16)
}

export function formatStageKey (pipeline: Pipeline, stage: Stage): string {
  return `${pipeline.name}/${stage.name}`
}

/** Returns whether the stage must not run more than once, because the request or the stage is marked as unrepeatable. */
export function isStageUnrepeatable (plan: Pick<RequestPlan, 'isUnrepeatable'>, stage: Stage): boolean {
  return plan.isUnrepeatable || stage.unrepeatable
}
