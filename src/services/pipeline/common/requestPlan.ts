/**
 * A request that was taken in, with the configuration it began under.
 */
import type { Pipeline, Stage } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { hashText } from '../../../base/common/rendezvous.ts'

export interface RequestPlan {
  readonly requestId: string
  readonly customer: string
  readonly customerWeight: number
  /** As pinned when the request was taken in. */
  readonly pipeline: Pipeline
  readonly input: string
  readonly contentDigest: string
  readonly prefixKey: string
  readonly isUnrepeatable: boolean
  /** On this process's clock. */
  readonly deadlineAt: number
  /** Stages finished before, and the result of the last of them. */
  readonly stagesDone: number
  readonly result: string
}

/** Prompts that share so many characters at the start share their cached prefix. */
const PREFIX_LENGTH = 64

/** The key under which requests with a shared beginning meet; customers never share one. */
export function derivePrefixKey (customer: string, input: string): string {
  return hashText(`${customer}\u0000${input.slice(0, PREFIX_LENGTH)}`).toString(16)
}

export function formatStageKey (pipeline: Pipeline, stage: Stage): string {
  return `${pipeline.name}/${stage.name}`
}

/** Whether sending the stage a second time could do harm. */
export function isStageUnrepeatable (plan: Pick<RequestPlan, 'isUnrepeatable'>, stage: Stage): boolean {
  return plan.isUnrepeatable || stage.unrepeatable
}
