/**
 * A caller's request with the route, customer and limits that were determined when it was accepted.
 */
import type { Route } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { RelayRequest } from '../common/relayRequest.ts'
import type { CallerAnswer } from './callerAnswer.ts'

export interface AcceptedRequest {
  readonly request: RelayRequest
  readonly route: Route
  readonly customer: string | undefined
  /** Lower values are more urgent; 0 is the highest priority. */
  readonly priority: number
  /** The only halls whose upstreams may run the request; undefined for all. */
  readonly homeHalls?: readonly string[] | undefined
  readonly body: Buffer
  readonly answer: CallerAnswer
  /** When it may have arrived at the earliest, on the process's clock, in milliseconds. Its timeouts count from then. */
  readonly arrivedAt: number
}
