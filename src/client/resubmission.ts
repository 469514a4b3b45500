/**
 * Whether a request may be submitted anew, elsewhere or under a new number, after it got no answer.
 */
import type { ClientError } from './clientError.ts'

/** Results of the request itself: another gate would say the same. */
const HOPELESS_RESULTS: ReadonlySet<string> = new Set([
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

/** An unrepeatable request goes elsewhere only while it is certain that nothing of it ran. */
export function maySubmitAnew (inputs: ResubmissionInputs): boolean {
  if (HOPELESS_RESULTS.has(inputs.error.resultName)) return false
  const isCertain = inputs.error.execution === 'notRun' && !inputs.mayHaveRun
  return isCertain || !inputs.isUnrepeatable
}
