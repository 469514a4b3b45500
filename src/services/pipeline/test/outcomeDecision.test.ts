import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { decideAfterOutcome } from '../common/outcomeDecision.ts'

const test = suite('outcomeDecision')

const REFUSED = { kind: 'notRun' as const, error: new PepperwoodError({ name: 'upstreamUnreachable', message: 'busy' }), isLeaving: false, incarnation: 1 }

/** Returns the decision for an unrepeatable stage whose attempt was refused by the upstream. */
function decideAfterRefusal (timeLeftMs: number) {
  return decideAfterOutcome({ outcome: REFUSED, isUnrepeatable: true, canResume: false, resumeCount: 0, attemptCount: 3, timeLeftMs })
}

test('a stage is queued again after a refusal while there is time for an answer', () => {
  assert.is(decideAfterRefusal(400).kind, 'queue')
})

test('a stage is not queued again after a refusal if the deadline could interrupt the next attempt and leave its outcome unknown', () => {
  assert.equal(decideAfterRefusal(40), { kind: 'giveUp', reason: 'noTime' })
})

test.run()
