import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom, drawInteger } from '../../../base/common/random.ts'
import type { CrashedRun } from '../common/crashEvidence.ts'
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

const GUILTY = 'part/g'
const POPULAR = 'part/a'

/** Crashes under different requests that share parts and whose answers had just begun, 100 ms apart. */
function addPartCrashes (tracker: QuarantineTracker, count: number, run: Partial<CrashedRun> = {}): QuarantineTracker {
  for (let index = 0; index < count; index++) tracker.addRun({ digest: `d${index}`, bodyBytes: 9, partKeys: [POPULAR, GUILTY], isStarting: true, upstream: `u${index}`, sentAt: index * 100, crashedAt: index * 100 + 50, ...run })
  return tracker
}

function findRecord (tracker: QuarantineTracker, ...partKeys: readonly string[]) {
  return tracker.findRecord({ bodyBytes: 1, getDigest: () => assert.unreachable('the digest is not needed') as never, getPartKeys: () => partKeys })
}

test('only requests with all parts that always came together are quarantined, and with an answer to one of them the others', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 3)
  assert.ok(findRecord(tracker, 'part/b', GUILTY, POPULAR).isQuarantined)
  assert.not(findRecord(tracker, POPULAR).isQuarantined)
  assert.not(findRecord(tracker, GUILTY).isQuarantined)
  assert.ok(tracker.isClearedBy(POPULAR, 100))
  tracker.clear(POPULAR, 100, { isServed: true })
  assert.ok(findRecord(tracker, GUILTY).isQuarantined)
  assert.equal(findRecord(tracker, GUILTY).parts, ['g'])
  assert.not(findRecord(tracker, POPULAR).isQuarantined)
})

test('an answer after a single crash clears a part, so that a popular one is considered last', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 1, { partKeys: [POPULAR] })
  assert.ok(tracker.isClearedBy(POPULAR, 51))
  tracker.clear(POPULAR, 51, { isServed: true })
  for (let index = 0; index < 4; index++) tracker.addRun({ digest: `e${index}`, bodyBytes: 9, partKeys: [POPULAR], upstream: `v${index}`, sentAt: 100 + index * 100, crashedAt: 150 + index * 100 })
  assert.not(findRecord(tracker, POPULAR).isQuarantined)
})

test('an answer to a request that was sent before the first crash clears nothing', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 3)
  assert.not(tracker.isClearedBy(GUILTY, 50))
  assert.not(tracker.isClearedBy('part/unknown', 1000))
})

test('a part that was answered before its first crash is quarantined after five, and one that was answered later after three', () => {
  const tracker = new QuarantineTracker()
  tracker.recordAnsweredParts([POPULAR])
  addPartCrashes(tracker, 3, { partKeys: [POPULAR] })
  assert.not(findRecord(tracker, POPULAR).isQuarantined)
  assert.ok(findRecord(addPartCrashes(tracker, 5, { partKeys: [POPULAR] }), POPULAR).isQuarantined)
  const later = addPartCrashes(new QuarantineTracker(), 1, { partKeys: [POPULAR] })
  later.recordAnsweredParts([POPULAR])
  assert.ok(findRecord(addPartCrashes(later, 3, { partKeys: [POPULAR] }), POPULAR).isQuarantined)
})

test('clearing a request keeps the evidence against the parts of its prompt', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 3, { digest: 'same' })
  tracker.clear('same', 1000, { isServed: true })
  assert.ok(findRecord(tracker, GUILTY, POPULAR).isQuarantined)
  assert.is(tracker.getCrashRecord('same').crashCount, 0)
})

test('a run whose answer had not begun is no evidence against its parts if that of another had', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 5)
  addPartCrashes(tracker, 5, { digest: 'beside', partKeys: ['part/b'], isStarting: false })
  assert.not(findRecord(tracker, 'part/b').isQuarantined)
  assert.ok(findRecord(tracker, GUILTY, POPULAR).isQuarantined)
  assert.ok(findRecord(addPartCrashes(new QuarantineTracker(), 5, { isStarting: false }), GUILTY, POPULAR).isQuarantined, 'where no answer had begun, all count')
})

test('many parts with one crash each do not evict a quarantined one', () => {
  const tracker = addPartCrashes(new QuarantineTracker(), 3)
  assert.ok(findRecord(tracker, GUILTY, POPULAR).isQuarantined)
  for (let index = 0; index < 5000; index++) tracker.addRun({ digest: `f${index}`, bodyBytes: 9, partKeys: [`part/f${index}`], upstream: `v${index}`, sentAt: index, crashedAt: index + 1 })
  assert.ok(findRecord(tracker, GUILTY, POPULAR).isQuarantined)
})

// A cause is a set of parts, so requests with the crashing part and another first part may still be sent.
test('a part is found within the crashes that the users allow, whichever of 20 first parts its requests have', () => {
  const firstPartCount = 20
  const maxCrashes = 8
  const isQuarantined = (tracker: QuarantineTracker, first: number) => tracker.findRecord({ bodyBytes: 1, getDigest: () => 'other', getPartKeys: () => [`part/first${first}`, GUILTY] }).isQuarantined
  for (let seed = 1; seed <= 300; seed++) {
    const random = SeededRandom.createMixed(seed)
    const tracker = new QuarantineTracker()
    let crashCount = 0
    for (let request = 0; request < 100; request++) {
      const first = drawInteger(random, 0, firstPartCount - 1)
      if (isQuarantined(tracker, first)) continue
      const sentAt = request * 100
      tracker.addRun({ digest: `d${request}`, bodyBytes: 9, partKeys: [`part/first${first}`, GUILTY], isStarting: true, upstream: `u${request}`, sentAt, crashedAt: sentAt + 50 })
      crashCount++
    }
    assert.ok(crashCount <= maxCrashes, `${crashCount} crashes with seed ${seed}`)
  }
})

test.run()
