/**
 * Refuses requests whose pieces cannot be computed, before their bodies are read and anything is created for them.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { findInfeasibility, PIECE_BYTES, sumPieces } from '../../preparation/common/preparationFeasibility.ts'
import type { PieceSupply } from '../../preparation/common/preparationFeasibility.ts'
import type { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { computePreparationMs, listPieceDemands } from '../common/preparationNeed.ts'
import type { RelayRefusal } from '../common/relayProtocol.ts'
import type { RelayTable } from '../common/relayTable.ts'
import type { AcceptedRequest } from './acceptedRequest.ts'
import { createInfeasibleRefusal, createInvalidRefusal } from './callerRefusals.ts'

export interface PreparationCheckOptions {
  readonly clock: IClock
  readonly registry: UpstreamRegistry
  readonly getTable: () => RelayTable | undefined
}

type CheckedRequest = Pick<AcceptedRequest, 'request' | 'route'>

export class PreparationCheck {
  constructor (private readonly _options: PreparationCheckOptions) {}

  /** Returns why the request is refused; undefined if its pieces may be computed in time. */
  findRefusal ({ request, route }: CheckedRequest, arrivedAt: number): RelayRefusal | undefined {
    const { preparation, timeLeftMs = Infinity } = request
    if (route.stages.length === 0 || preparation === undefined) return undefined
    if (preparation.pieceCounts === undefined) return createInvalidRefusal('expected the number of pieces of each stage')
    const deadlineInMs = arrivedAt + Math.min(route.timeoutMs, timeLeftMs) - this._options.clock.now()
    const infeasibility = findInfeasibility(listPieceDemands(request, route), role => this._findSupply(role), computePreparationMs(route, deadlineInMs))
    return infeasibility === undefined ? undefined : createInfeasibleRefusal(infeasibility)
  }

  private _findSupply (role: string): PieceSupply | undefined {
    const work = this._options.getTable()?.getRole(role)?.pieceWork
    return work === undefined ? undefined : { work, upstreamCount: this._options.registry.listAvailable(role).length }
  }
}

/** Returns the memory that the pieces of a request take. */
export function computePieceBytes ({ request, route }: CheckedRequest): number {
  return PIECE_BYTES * sumPieces(listPieceDemands(request, route))
}
