/**
 * The failure of a stage that ends its request without a whole answer.
 */
import { Data } from 'effect'
import type { PepperwoodError } from '../../result/common/pepperwoodError.ts'

export class StageFailure extends Data.TaggedError('StageFailure')<{
  readonly error: PepperwoodError
  readonly retryAfterMs: number
}> {}
