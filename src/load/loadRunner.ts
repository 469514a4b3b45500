/**
 * Sends the arrivals through the client library and records the outcome of each.
 */
import { waitFor } from '../base/node/interval.ts'
import type { ClientError } from '../client/clientError.ts'
import { PepperwoodClient } from '../client/pepperwoodClient.ts'
import type { StageCost } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Arrival } from './arrivals.ts'
import { formatClientIp, formatCustomerKey } from './fleetPlan.ts'

export interface Outcome {
  readonly arrival: Arrival
  /** `lost` if neither an answer nor an error arrived until well after the deadline. */
  readonly kind: 'whole' | 'late' | 'refused' | 'lost'
  readonly text: string
  readonly error: ClientError | undefined
  readonly elapsedMs: number
  readonly firstChunkMs: number
  readonly costs: readonly StageCost[]
  readonly chunkCount: number
}

export interface LoadRunnerOptions {
  readonly arrivals: readonly Arrival[]
  readonly customers: readonly string[]
  readonly entries: readonly string[]
  readonly network: number
  /** Number of independent clients per customer. Each locates gates for itself. */
  readonly callersPerCustomer: number
  readonly onDidEnd?: (outcome: Outcome) => void
}

/** Time after the deadline at which a request without an outcome counts as lost. */
const LOST_AFTER_MS = 3000

export async function runLoad (options: LoadRunnerOptions): Promise<readonly Outcome[]> {
  const callers = createCallers(options)
  const startedAt = performance.now()
  const outcomes: Promise<Outcome>[] = []
  for (const arrival of options.arrivals) {
    const waitMs = startedAt + arrival.atMs - performance.now()
    if (waitMs > 1) await waitFor(waitMs)
    const group = callers.get(arrival.customer) ?? []
    const caller = group[arrival.id % group.length]
    if (caller === undefined) continue
    outcomes.push(submit(caller, arrival).then(outcome => {
      options.onDidEnd?.(outcome)
      return outcome
    }))
  }
  const results = await Promise.all(outcomes)
  for (const group of callers.values()) for (const caller of group) caller.dispose()
  return results
}

function createCallers (options: LoadRunnerOptions): ReadonlyMap<string, readonly PepperwoodClient[]> {
  const { entries, network, callersPerCustomer } = options
  return new Map(options.customers.map((customer, customerIndex) => {
    const group = Array.from({ length: callersPerCustomer }, (_, index) => {
      const number = customerIndex * callersPerCustomer + index
      // Rotates the list, so that callers contact different gates first.
      const from = number % entries.length
      return new PepperwoodClient({
        entries: [...entries.slice(from), ...entries.slice(0, from)],
        customer,
        key: formatCustomerKey(customer),
        localAddress: formatClientIp(network, number)
      })
    })
    return [customer, group]
  }))
}

async function submit (caller: PepperwoodClient, arrival: Arrival): Promise<Outcome> {
  const startedAt = performance.now()
  const empty = { arrival, text: '', error: undefined, firstChunkMs: 0, costs: [], chunkCount: 0 }
  const lost = waitFor(arrival.deadlineMs + LOST_AFTER_MS).then<Outcome>(() => ({ ...empty, kind: 'lost', elapsedMs: performance.now() - startedAt }))
  const answered = caller.submit(arrival).then(result => {
    const elapsedMs = performance.now() - startedAt
    return result.caseOf<Outcome>({
      Left: error => ({ ...empty, kind: 'refused', error, costs: error.costs, elapsedMs }),
      Right: answer => ({ ...empty, ...answer, kind: elapsedMs <= arrival.deadlineMs ? 'whole' : 'late', elapsedMs })
    })
  })
  return await Promise.race([answered, lost])
}
