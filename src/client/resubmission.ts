/**
 * Decides whether a request without an answer may be resubmitted, at another gate or under a new number.
 */
import type { ClientError } from './clientError.ts'

/** Results that depend on the request alone: another gate would return the same. */
const FINAL_RESULTS: ReadonlySet<string> = new Set([
  'requestInvalid',
  'customerUnknown',
  'keyWrong',
  'pipelineUnknown',
  'pipelineForbidden',
  'requestTooLarge',
  'numberReused',
  'deadlinePassed',
  'deadlineTooShort',
  'cancelled'
])

export interface ResubmissionInputs {
  readonly error: Pick<ClientError, 'resultName' | 'execution'>
  readonly isUnrepeatable: boolean
  /** Whether any submission of the request so far may have run. */
  readonly mayHaveRun: boolean
}

/** An unrepeatable request may be resubmitted only if it is certain that no stage of it ran. */
export function canResubmit (inputs: ResubmissionInputs): boolean {
  if (FINAL_RESULTS.has(inputs.error.resultName)) return false
  const hasCertainlyNotRun = inputs.error.execution === 'notRun' && !inputs.mayHaveRun
  return hasCertainlyNotRun || !inputs.isUnrepeatable
}
