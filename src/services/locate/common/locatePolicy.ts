/**
 * Which gates a caller is told to use, best first, and for how long it may keep the answer.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/** A gate as the answering gate knows it. */
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
  /** Another one for each question and each answering gate, so that the callers of one customer are spread. */
  readonly salt: string
}

export interface LocatedGate {
  readonly address: string
  readonly hall: string
  readonly keepMs: number
}

/** A gate that was not heard of for so long is not recommended. */
const MAX_AGE_MS = 4000
/** While gates come and go, or some have much more to do than others, callers should ask again soon. */
const SHORT_KEEP_MS = 2000
const LONG_KEEP_MS = 10_000
/** Answers given at one time should not all run out at one time. */
const KEEP_SPREAD = 0.5
const MAX_GATES = 4
/** How much more than the mean the busiest gate may have before callers are asked to come back soon. */
const MAX_IMBALANCE = 1.3

/**
 * Callers keep answers, so load is spread when the answer is given: a gate's chance falls with what it has in
 * progress and what it took in lately.
 */
export function rankGates (inputs: LocateInputs): readonly LocatedGate[] {
  const usable = inputs.gates.filter(isUsableGate)
  const isSteady = usable.length === inputs.gates.filter(gate => gate.ageMs <= 2 * MAX_AGE_MS).length && isBalanced(usable)
  const spread = 1 - KEEP_SPREAD * drawFrom(`keep/${inputs.customer}/${inputs.salt}`)
  const keepMs = Math.round((isSteady ? LONG_KEEP_MS : SHORT_KEEP_MS) * spread)
  return usable
    .map(gate => ({ gate, score: scoreGate(gate, inputs) }))
    .sort((a, b) => a.score - b.score)
    .slice(0, MAX_GATES)
    .map(({ gate }) => ({ address: gate.address, hall: gate.hall, keepMs }))
}

/** Whether callers may be sent to a gate. */
export function isUsableGate (gate: GateView): boolean {
  return gate.ready && !gate.draining && gate.ageMs <= MAX_AGE_MS
}

function getLoad (gate: GateView): number {
  return 1 + gate.recentRequests + gate.inFlight
}

function isBalanced (gates: readonly GateView[]): boolean {
  const loads = gates.map(getLoad)
  const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
  return Math.max(0, ...loads) <= mean * MAX_IMBALANCE
}

/** Lower is better: load times a draw between 0.5 and 1.5. */
function scoreGate (gate: GateView, inputs: LocateInputs): number {
  return getLoad(gate) * (0.5 + drawFrom(`${inputs.customer}/${gate.address}/${inputs.salt}`))
}

/** From 0 to 1, the same for the same text. */
function drawFrom (text: string): number {
  return hashText(text) / 2 ** 32
}
