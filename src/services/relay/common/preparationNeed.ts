/**
 * Creates the preparation job of a request from its route.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { PieceDemand } from '../../preparation/common/preparationFeasibility.ts'
import { MAX_EXCLUDED_TARGETS } from '../../preparation/common/preparationMessage.ts'
import type { PreparationJob } from '../../preparation/common/preparationJob.ts'
import { computeReturnWithinMs } from '../../preparation/common/returnWindow.ts'
import type { IRequestIdentity } from '../../quarantine/common/requestIdentity.ts'
import type { RelayRequest } from './relayRequest.ts'
import { listSharedPrefixes } from './sharedPrefixes.ts'

export interface ReturningCaller {
  /** The same for all tries of the caller. */
  readonly request: Pick<IRequestIdentity, 'getDigest'>
  /** By the caller's own deadline: it decides how long the caller waits before it returns. */
  readonly timeLeftMs: number
}

export interface PreparationJobInputs {
  readonly request: RelayRequest
  readonly route: Route
  /** The role of the upstreams that the request goes to. */
  readonly role: string
  readonly priority: number
  /** The only halls that may serve the request; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  /** Upstreams of the role that cannot accept the request now. */
  readonly excludedTargets?: readonly string[]
  readonly deadlineInMs: number
  /** The caller, for whom capacity may be reserved if the request is refused; undefined if none is reserved. */
  readonly returningCaller?: ReturningCaller | undefined
  /** Upstreams have crashed while they ran the request. */
  readonly isSuspect: boolean
}

/** For a shared prefix of at least this length, processing it again takes longer than querying which upstream caches it. */
const MIN_QUERY_TOKENS = 512

/** Returns the pieces that the request needs, by stage of its route. */
export function listPieceDemands ({ preparation }: Pick<RelayRequest, 'preparation'>, { stages }: Pick<Route, 'stages'>): readonly PieceDemand[] {
  return stages.map(({ role, resultBytes }, index) => ({ role, pieceCount: preparation?.pieceCounts?.[index] ?? 0, resultBytes }))
}

/** How long the results of a request's pieces are of use; its caller gives up a stream without output after the route's patience. */
export function computePreparationMs ({ patienceMs }: Pick<Route, 'patienceMs'>, deadlineInMs: number): number {
  return patienceMs > 0 ? Math.min(patienceMs, deadlineInMs) : deadlineInMs
}

/**
 * Returns undefined if the request needs no preparation. A job without pieces only queries which upstream should run the
 * request: its prompt has a long shared prefix, and the planner knows which upstreams have it in their caches.
 */
export function createPreparationJob (inputs: PreparationJobInputs): PreparationJob | undefined {
  const { request, route, role, priority, homeHalls, excludedTargets = [], deadlineInMs, returningCaller, isSuspect } = inputs
  if (route.stages.length === 0) return undefined
  const need = request.preparation
  const demands = listPieceDemands(request, route)
  const counts = demands.map(({ pieceCount }) => pieceCount)
  const hasPieces = counts.some(count => count > 0)
  const { prompt } = request
  const shared = prompt === undefined ? [] : listSharedPrefixes(prompt)
  if (!hasPieces && (shared.at(-1)?.tokens ?? 0) < MIN_QUERY_TOKENS) return undefined
  const stages = route.stages.map((stage, index) => ({
    role: stage.role,
    after: stage.after.filter(before => (counts[before] ?? 0) > 0),
    pieceCount: counts[index] ?? 0,
    resultBytes: stage.resultBytes
  }))
  const targetRequest = {
    role,
    shared,
    inputTokens: prompt?.inputTokens ?? 0
  }
  return { id: request.id, key: need?.key ?? '', stages, request: targetRequest, rank: priority, goalInMs: Math.min(route.goalMs, deadlineInMs), deadlineInMs: computePreparationMs(route, deadlineInMs), ...hasPieces ? createReturnFields(returningCaller) : {}, isSuspect, homeHalls, ...excludedTargets.length > 0 ? { excludedTargets: excludedTargets.slice(0, MAX_EXCLUDED_TARGETS) } : {} }
}

/** Only jobs with pieces are refused for lack of capacity, so no digest is computed for others. */
function createReturnFields (caller: ReturningCaller | undefined): Pick<PreparationJob, 'returnKey' | 'returnWithinMs'> {
  return caller === undefined ? {} : { returnKey: caller.request.getDigest(), returnWithinMs: computeReturnWithinMs(caller.timeLeftMs) }
}
