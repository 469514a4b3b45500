import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { PredictedFinishAdmission } from '../common/admissionPolicy.ts'
import type { AdmissionRequest } from '../common/admissionPolicy.ts'
import { CommittedWork } from '../common/committedWork.ts'

const test = suite('admissionPolicy')
const policy = new PredictedFinishAdmission({ fillFactor: 1 })
const request: AdmissionRequest = { customer: 'small', customerWeight: 1, timeLeftMs: 1000, priority: 1, stages: [{ role: 'encode', expectedMs: 100, slotCount: 4 }, { role: 'generate', expectedMs: 400, slotCount: 2 }] }

function createWork (entries: Readonly<Record<string, number>>, role = 'generate'): CommittedWork {
  const committed = new CommittedWork(new VirtualClock())
  for (const [customer, count] of Object.entries(entries)) for (let index = 0; index < count; index++) committed.add({ role, customer, weight: 1, priority: 1, expectedMs: 0 })
  return committed
}

function decide (options: Partial<AdmissionRequest>, committed: CommittedWork): string {
  return policy.decide({ ...request, ...options }, committed).swap().map(refusal => refusal.error.resultName).orDefault('internal')
}

test('an idle fleet admits a request that fits into the time left and refuses one that does not', () => {
  assert.is(policy.decide(request, createWork({})).unsafeCoerce().predictedMs, 500)
  assert.is(decide({ timeLeftMs: 499 }, createWork({})), 'deadlineTooShort')
})

test('previously admitted work counts, and the refusal has a retry delay', () => {
  assert.ok(policy.decide(request, createWork({ small: 3 })).isRight())
  const refusal = policy.decide(request, createWork({ small: 6 })).swap().unsafeCoerce()
  assert.is(refusal.error.resultName, 'overloaded')
  assert.ok(refusal.retryAfterMs > 0)
})

test('a customer with a large backlog is refused while a customer without one is admitted', () => {
  const committed = createWork({ large: 40 })
  assert.ok(policy.decide(request, committed).isRight())
  assert.is(decide({ customer: 'large' }, committed), 'overloaded')
})

test('recent load of higher priority reduces the available slots until it decays', () => {
  const clock = new VirtualClock()
  const committed = new CommittedWork(clock)
  for (let index = 0; index < 5; index++) committed.add({ role: 'generate', customer: 'other', weight: 1, priority: 2, expectedMs: 400 })
  for (let index = 0; index < 5; index++) committed.remove('generate', 'other', 2)
  for (let index = 0; index < 2; index++) committed.add({ role: 'generate', customer: 'small', weight: 1, priority: 1, expectedMs: 0 })
  assert.is(decide({}, committed), 'overloaded')
  assert.ok(policy.decide({ ...request, priority: 2 }, committed).isRight())
  clock.advance(10_000)
  assert.ok(policy.decide(request, committed).isRight())
})

test('work that has finished the role is no longer counted', () => {
  const committed = createWork({ small: 6 })
  for (let index = 0; index < 6; index++) committed.remove('generate', 'small', 1)
  committed.remove('generate', 'small', 1)
  assert.is(committed.countForRole('generate'), 0)
  assert.is(committed.countAhead('generate', 'small', 1, 1), 0)
})

test('work of lower priority is not counted as ahead, and all work of higher priority is', () => {
  const committed = createWork({ large: 40 })
  assert.is(committed.countAhead('generate', 'small', 1, 2), 0)
  assert.is(committed.countAhead('generate', 'small', 1, 0), 40)
})

test('work ahead of a customer is its own work and the weighted share of the other customers', () => {
  const committed = createWork({ small: 2, large: 40, other: 1 })
  assert.is(committed.countAhead('generate', 'small', 1, 1), 2 + 3 + 1)
  assert.is(committed.countAhead('generate', 'new', 1, 1), 1 + 1 + 1)
  assert.is(committed.countAhead('generate', 'new', 2, 1), 0.5 + 0.5 + 0.5)
})

test.run()
