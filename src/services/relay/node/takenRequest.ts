/**
 * A caller's request with all that was found out when it was taken in.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { RelayRequest } from '../common/relayRequest.ts'
import type { CallerAnswer } from './callerAnswer.ts'

export interface TakenRequest {
  readonly request: RelayRequest
  readonly route: Route
  readonly customer: string | undefined
  /** 0 goes first. */
  readonly priority: number
  /** The only halls whose upstreams may get it; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  readonly body: Buffer
  readonly answer: CallerAnswer
  /** On the process's clock. */
  readonly arrivedAt: number
}
