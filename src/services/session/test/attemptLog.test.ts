import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptLog, canSendAgain, deriveExecutionState } from '../common/attemptLog.ts'
import type { Attempt, AttemptState, ExecutionState } from '../common/attemptLog.ts'

const SEED = 20261203
const test = suite('attemptLog')

function createAttempt (state: AttemptState, isUnrepeatable = false, stageIndex = 0): Attempt {
  return { attemptId: `a${stageIndex}`, stageIndex, stage: 's', upstream: 'u', isUnrepeatable, state, busyMs: 0, startedAt: 0, endedAt: 0 }
}

const cases: readonly (readonly [string, readonly Attempt[], ExecutionState])[] = [
  ['no attempt', [], 'notRun'],
  ['prepared only', [createAttempt('prepared')], 'notRun'],
  ['known not to have run', [createAttempt('notRun'), createAttempt('notRun')], 'notRun'],
  ['sent, outcome unknown', [createAttempt('sent')], 'mayHaveRun'],
  ['one not run, one sent', [createAttempt('notRun'), createAttempt('sent')], 'mayHaveRun'],
  ['ran and failed', [createAttempt('ran')], 'mayHaveRun'],
  ['one stage answered', [createAttempt('answered')], 'incomplete'],
  ['one stage answered, the next not run', [createAttempt('answered'), createAttempt('notRun', false, 1)], 'incomplete'],
  ['one stage answered, the next lost', [createAttempt('answered'), createAttempt('sent', false, 1)], 'incomplete'],
  ['one stage answered, an unrepeatable one lost', [createAttempt('answered'), createAttempt('sent', true, 1)], 'mayHaveRun']
]

for (const [name, attempts, expected] of cases) {
  test(`${name}: ${expected}`, () => assert.is(deriveExecutionState(attempts), expected))
}

test('the execution is notRun exactly if no attempt was sent or every sent attempt is known not to have run', () => {
  const state = fc.constantFrom<AttemptState>('sent', 'notRun', 'ran', 'answered')
  fc.assert(fc.property(fc.array(fc.record({ stage: fc.integer({ min: 0, max: 3 }), states: fc.array(state, { maxLength: 4 }), isUnrepeatable: fc.boolean() }), { maxLength: 8 }), steps => {
    const log = new AttemptLog()
    let hasEffect = false
    steps.forEach((step, index) => {
      const attemptId = `a${index}`
      log.prepare({ attemptId, stageIndex: step.stage, stage: String(step.stage), upstream: 'u', isUnrepeatable: step.isUnrepeatable }, 0)
      for (const next of step.states) log.update(attemptId, next, 0)
      const known = step.states.find(next => next !== 'sent')
      if (step.states.length > 0 && known !== 'notRun') hasEffect = true
    })
    assert.is(deriveExecutionState(log.attempts) === 'notRun', !hasEffect)
    for (let stage = 0; stage < 4; stage++) {
      const hasUnrepeatableAttempt = log.attempts.some(attempt => attempt.stageIndex === stage && attempt.isUnrepeatable && ['sent', 'ran', 'answered'].includes(attempt.state))
      assert.is(canSendAgain(log.attempts, stage), !hasUnrepeatableAttempt)
    }
  }), { seed: SEED, numRuns: 3000 })
})

test('a final state of an attempt never changes', () => {
  const log = new AttemptLog()
  log.prepare({ attemptId: 'a', stageIndex: 0, stage: 's', upstream: 'u', isUnrepeatable: true }, 0)
  log.update('a', 'sent', 1)
  log.update('a', 'answered', 2, 5)
  log.update('a', 'notRun', 3)
  assert.is(log.attempts[0]?.state, 'answered')
  assert.is(deriveExecutionState(log.attempts), 'incomplete')
})

test.run()
