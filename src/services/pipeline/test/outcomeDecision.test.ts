import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PepperwoodError } from '../../result/common/pepperwoodError.ts'
import { decideAfterOutcome } from '../common/outcomeDecision.ts'

const test = suite('outcomeDecision')

const REFUSED = { kind: 'notRun' as const, error: new PepperwoodError({ name: 'upstreamUnreachable', message: 'busy' }), isLeaving: false, incarnation: 1 }

/** How an unrepeatable stage that upstreams refuse goes on, with so much time left. */
function decideRefused (timeLeftMs: number) {
  return decideAfterOutcome({ outcome: REFUSED, isUnrepeatable: true, canResume: false, resumes: 0, attempts: 3, timeLeftMs })
}

test('a refused attempt is sent again while an answer can still come', () => {
  assert.is(decideRefused(400).kind, 'queue')
})

test('a refused attempt is not sent again so late that the deadline would cut it off, and nobody would know whether it ran', () => {
  assert.equal(decideRefused(40), { kind: 'giveUp', reason: 'noTime' })
})

test.run()
