/**
 * From a request and its route to the job that prepares it.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { MAX_EXCLUDED_TARGETS } from '../../preparation/common/preparationMessage.ts'
import type { PreparationJob } from '../../preparation/common/preparationJob.ts'
import { listSharedPrefixes } from './relayRequest.ts'
import type { RelayRequest } from './relayRequest.ts'

export interface PreparationNeedInputs {
  readonly request: RelayRequest
  readonly route: Route
  /** The role of the upstreams that the request goes to. */
  readonly role: string
  readonly priority: number
  /** The only halls that may serve it; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  /** Upstreams of the role that the request cannot go to now. */
  readonly excludedTargets?: readonly string[]
  readonly deadlineInMs: number
  /** Upstreams have ended under it. */
  readonly isSuspect: boolean
}

/** Shared parts this long are worth asking which upstream keeps them: reading them takes longer than the question. */
const MIN_ASKED_TOKENS = 512

/**
 * Undefined when nothing has to be done before the request can run. A job without pieces only asks which upstream should
 * take the request: its prompt has long parts that others share, and the planner knows where these are kept.
 */
export function createPreparationJob (inputs: PreparationNeedInputs): PreparationJob | undefined {
  const { request, route, role, priority, homeHalls, excludedTargets = [], deadlineInMs, isSuspect } = inputs
  if (route.stages.length === 0) return undefined
  const need = request.preparation
  const counts = route.stages.map((_, index) => need?.pieceCounts[index] ?? 0)
  const { prompt } = request
  const shared = prompt === undefined ? [] : listSharedPrefixes(prompt)
  if (counts.every(count => count === 0) && (shared.at(-1)?.tokens ?? 0) < MIN_ASKED_TOKENS) return undefined
  const stages = route.stages.map((stage, index) => ({
    role: stage.role,
    after: stage.after.filter(before => (counts[before] ?? 0) > 0),
    pieceCount: counts[index] ?? 0,
    resultBytes: stage.resultBytes
  }))
  const shape = {
    role,
    shared,
    inputTokens: prompt?.inputTokens ?? 0
  }
  return { id: request.id, key: need?.key ?? '', stages, request: shape, rank: priority, goalInMs: Math.min(route.goalMs, deadlineInMs), deadlineInMs: route.patienceMs > 0 ? Math.min(route.patienceMs, deadlineInMs) : deadlineInMs, isSuspect, homeHalls, ...excludedTargets.length > 0 ? { excludedTargets: excludedTargets.slice(0, MAX_EXCLUDED_TARGETS) } : {} }
}
