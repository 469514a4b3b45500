/**
 * Ranks the gates that a caller should use, best first, and sets for how long it may cache the answer.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/** State of a gate as last received by the gate that answers. */
export interface GateView {
  readonly address: string
  readonly hall: string
  readonly inFlight: number
  readonly recentRequests: number
  readonly draining: boolean
  readonly ready: boolean
  readonly ageMs: number
}

export interface LocateInputs {
  readonly customer: string
  readonly gates: readonly GateView[]
  /** Different for each query and each answering gate, so that the callers of one customer are distributed over the gates. */
  readonly salt: string
}

export interface LocatedGate {
  readonly address: string
  readonly hall: string
  readonly keepMs: number
}

/** A gate whose last report is older than this is not recommended. */
const MAX_REPORT_AGE_MS = 4000
/** Used while gates join or leave or the load is uneven, so that callers query again soon. */
const SHORT_KEEP_MS = 2000
const LONG_KEEP_MS = 10_000
/** Largest fraction by which the cache time is shortened at random, so that answers given together do not all expire together. */
const KEEP_JITTER = 0.5
const MAX_GATES = 4
/** Highest load of the busiest gate, relative to the mean, at which callers may cache the answer for the long time. */
const MAX_IMBALANCE = 1.3

/**
 * Ranks usable gates at random, weighted by load. Callers cache the answer, so the load is balanced when the answer is
 * given: a gate is less likely to rank high the more requests it has in flight and has accepted recently.
 */
export function rankGates (inputs: LocateInputs): readonly LocatedGate[] {
  const usable = inputs.gates.filter(isUsableGate)
  const isStable = usable.length === inputs.gates.filter(gate => gate.ageMs <= 2 * MAX_REPORT_AGE_MS).length && isBalanced(usable)
  const jitterFactor = 1 - KEEP_JITTER * deriveFraction(`keep/${inputs.customer}/${inputs.salt}`)
  const keepMs = Math.round((isStable ? LONG_KEEP_MS : SHORT_KEEP_MS) * jitterFactor)
  return usable
    .map(gate => ({ gate, score: scoreGate(gate, inputs) }))
    .sort((a, b) => a.score - b.score)
    .slice(0, MAX_GATES)
    .map(({ gate }) => ({ address: gate.address, hall: gate.hall, keepMs }))
}

/** Whether callers may be directed to the gate. */
export function isUsableGate (gate: GateView): boolean {
  return gate.ready && !gate.draining && gate.ageMs <= MAX_REPORT_AGE_MS
}

function getLoad (gate: GateView): number {
  return 1 + gate.recentRequests + gate.inFlight
}

function isBalanced (gates: readonly GateView[]): boolean {
  const loads = gates.map(getLoad)
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
  return Math.max(0, ...loads) <= mean * MAX_IMBALANCE
}

/** Lower is better: the load times a pseudo-random factor between 0.5 and 1.5. */
function scoreGate (gate: GateView, inputs: LocateInputs): number {
  return getLoad(gate) * (0.5 + deriveFraction(`${inputs.customer}/${gate.address}/${inputs.salt}`))
}

/** Pseudo-random number from 0 to 1, the same for the same text. */
function deriveFraction (text: string): number {
  return hashText(text) / 2 ** 32
}
