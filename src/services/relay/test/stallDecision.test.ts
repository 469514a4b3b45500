import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decideOnStall, isResponsive } from '../common/stallDecision.ts'
import type { StallInputs } from '../common/stallDecision.ts'

const test = suite('stallDecision')

const INPUTS: StallInputs = {
  isRepeatable: true,
  isResumable: true,
  runCount: 1,
  sendCount: 1,
  crashCount: 0,
  maxAttempts: 2,
  timeLeftMs: 4000,
  minTimeMs: 50,
  hasBegun: true,
  silentMs: 1000,
  callerPatienceMs: 6000,
  hasResponsive: true
}

test('an upstream is responsive if it was silent for at most half as long', () => {
  assert.ok(isResponsive(500, 1000))
  assert.not.ok(isResponsive(501, 1000))
  assert.not.ok(isResponsive(Infinity, 1000))
})

test('a stream is resumed elsewhere if another upstream is responsive, and otherwise after half of the time that callers wait', () => {
  assert.equal(decideOnStall(INPUTS), { kind: 'replace', decision: { kind: 'retry', isResume: true } })
  assert.equal(decideOnStall({ ...INPUTS, hasResponsive: false }), { kind: 'wait', reason: 'allSilent' })
  assert.is(decideOnStall({ ...INPUTS, hasResponsive: false, silentMs: 3000 }).kind, 'replace')
  assert.equal(decideOnStall({ ...INPUTS, hasResponsive: false, hasBegun: false }), { kind: 'replace', decision: { kind: 'retry', isResume: false } })
})

test('a stalled attempt is the last one if no other may follow', () => {
  const exhausted: readonly Partial<StallInputs>[] = [{ runCount: 2 }, { sendCount: 4 }, { timeLeftMs: 40 }, { crashCount: 2 }, { isRepeatable: false }, { isResumable: false }]
  for (const inputs of exhausted) assert.equal(decideOnStall({ ...INPUTS, ...inputs }), { kind: 'wait', reason: 'attempts' }, JSON.stringify(inputs))
})

test.run()
