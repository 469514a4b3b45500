import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EVIDENCE_RETENTION_MS, QuarantineTracker } from '../common/quarantineTracker.ts'

const test = suite('quarantineTracker')

function createTracker (crashes: number, digest = 'g', tracker = new QuarantineTracker()): QuarantineTracker {
  for (let index = 0; index < crashes; index++) tracker.addRun({ digest, bodyBytes: 9, upstream: `${digest}${index}`, sentAt: index * 100, crashedAt: index * 100 + 50 })
  return tracker
}

test('a body of another length needs no digest', () => {
  assert.not(new QuarantineTracker().hasBodySize(9))
  assert.ok(createTracker(1).hasBodySize(9))
  assert.not(createTracker(1).hasBodySize(8))
})

test('a crash reported by several nodes counts once', () => {
  const tracker = createTracker(3)
  createTracker(3, 'g', tracker)
  assert.is(tracker.getCrashRecord('g').crashCount, 3)
  assert.ok(tracker.getCrashRecord('g').isQuarantined)
})

test('cleared evidence does not count, and later crashes do', () => {
  const tracker = createTracker(3)
  tracker.clear('g', 200)
  assert.is(tracker.getCrashRecord('g').crashCount, 1)
  // A peer that has not received the clearing reports the old crashes again.
  createTracker(2, 'g', tracker)
  assert.is(tracker.getCrashRecord('g').crashCount, 1)
  // The clearing may arrive before the evidence that it clears.
  tracker.clear('other', 200)
  assert.is(createTracker(3, 'other', tracker).getCrashRecord('other').crashCount, 1)
})

test('evidence expires some time after the last crash', () => {
  const tracker = createTracker(3)
  tracker.expire(EVIDENCE_RETENTION_MS)
  assert.ok(tracker.getCrashRecord('g').isQuarantined)
  tracker.expire(EVIDENCE_RETENTION_MS + 300)
  assert.ok(tracker.isEmpty)
})

test('many requests with one crash each do not evict a quarantined one', () => {
  const tracker = createTracker(3)
  for (let index = 0; index < 5000; index++) createTracker(1, `flood${index}-`, tracker)
  assert.ok(tracker.getCrashRecord('g').isQuarantined)
  assert.equal(tracker.listQuarantined().map(request => request.digest), ['g'])
  assert.is(tracker.getCrashRecord('flood0-').crashCount, 0)
})

test.run()
