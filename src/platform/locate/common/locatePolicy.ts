/**
 * Which gates a caller is told to use, best first, and for how long it may keep the answer.
 */
import { hashText } from '../../../base/common/rendezvous.ts'

/** A gate as the answering gate knows it. */
export interface GateView {
  readonly address: string
  readonly hall: string
  readonly inFlight: number
  readonly sessions: number
  readonly draining: boolean
  readonly ready: boolean
  readonly ageMs: number
}

export interface LocateInputs {
  readonly customer: string
  readonly gates: readonly GateView[]
  /** Changes with each question, so that the callers of one customer are spread. */
  readonly salt: number
}

export interface LocatedGate {
  readonly address: string
  readonly hall: string
  readonly keepMs: number
}

/** A gate that was not heard of for so long is not recommended. */
const MAX_AGE_MS = 4000
/** While gates come and go, callers should ask again soon. */
const SHORT_KEEP_MS = 2000
const LONG_KEEP_MS = 10_000
const MAX_GATES = 4

/**
 * Callers keep answers, so load is spread when the answer is given: a gate's chance falls with what it has in
 * progress and with the sessions it was given already.
 */
export function rankGates (inputs: LocateInputs): readonly LocatedGate[] {
  const usable = inputs.gates.filter(gate => gate.ready && !gate.draining && gate.ageMs <= MAX_AGE_MS)
  const isSteady = usable.length === inputs.gates.filter(gate => gate.ageMs <= 2 * MAX_AGE_MS).length
  const keepMs = isSteady ? LONG_KEEP_MS : SHORT_KEEP_MS
  return usable
    .map(gate => ({ gate, score: scoreGate(gate, inputs) }))
    .sort((a, b) => a.score - b.score)
    .slice(0, MAX_GATES)
    .map(({ gate }) => ({ address: gate.address, hall: gate.hall, keepMs }))
}

/** Lower is better: load times a draw between 0.5 and 1.5. */
function scoreGate (gate: GateView, inputs: LocateInputs): number {
  const draw = 0.5 + hashText(`${inputs.customer}/${gate.address}/${inputs.salt}`) / 2 ** 32
  return (1 + gate.sessions + gate.inFlight) * draw
}
