import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ChangeHistory } from '../common/changeHistory.ts'
import { FeederTracker, MAX_BEHIND_MS, MAX_SILENCE_MS } from '../common/feederTracker.ts'
import { chooseFeeders, listFeeders, MIN_HOSTS_FOR_FEEDERS } from '../common/feederChoice.ts'
import { dropKnownChanges } from '../common/sourceChanges.ts'
import type { SourceChange } from '../common/sourceChanges.ts'

const SEED = 20261202
const test = suite('feedDecisions')

function createFleet (halls: number, perHall: number) {
  return Array.from({ length: halls * perHall }, (_, index) => ({ address: `10.0.${index % halls}.${index}:1`, hall: `h${index % halls}` }))
}

function createChange (revision: number): SourceChange {
  return { key: `k${revision % 3}`, revision, item: undefined }
}

test('the number of hosts that follow the source grows with halls, not with hosts', () => {
  for (const perHall of [2, 4, 39, 200]) {
    const fleet = createFleet(5, perHall)
    const following = fleet.filter(host => chooseFeeders(host, listFeeders(fleet)).length === 0)
    assert.is(following.length, 5)
  }
})

test('each reader has two feeders in different halls, the first one in its own hall', () => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 7 }), fc.integer({ min: 3, max: 12 }), (halls, perHall) => {
    const fleet = createFleet(halls, perHall)
    const feeders = listFeeders(fleet)
    for (const host of fleet) {
      const chosen = chooseFeeders(host, feeders)
      if (chosen.length === 0) continue
      const chosenHalls = chosen.map(address => fleet.find(other => other.address === address)?.hall)
      assert.is(new Set(chosenHalls).size, 2)
      assert.is(chosenHalls[0], host.hall)
    }
  }), { seed: SEED })
})

test('a fleet of one hall has two feeders, and a small fleet follows the source with every host', () => {
  const one = createFleet(1, MIN_HOSTS_FOR_FEEDERS)
  assert.is(listFeeders(one).length, 2)
  const few = one.slice(1)
  assert.ok(few.every(host => chooseFeeders(host, listFeeders(few)).length === 0))
})

test('a feeder is reliable only after it sent a message and all its changes were applied', () => {
  const tracker = new FeederTracker()
  assert.is(tracker.findProblem('f', 0), 'not heard yet')
  tracker.recordConfirmation('f', 5, 0)
  assert.is(tracker.findProblem('f', 0), 'not heard yet')
  tracker.setRevision(4, 0)
  assert.is(tracker.findProblem('f', 0), 'ahead')
  tracker.setRevision(5, 0)
  assert.equal(tracker.listReliable(0), ['f'])
})

test('a feeder that is silent, or reports the loss of the source, is not reliable until its next confirmation', () => {
  const tracker = new FeederTracker()
  tracker.setRevision(5, 0)
  tracker.recordConfirmation('f', 5, 0)
  assert.equal(tracker.listReliable(MAX_SILENCE_MS - 1), ['f'])
  assert.is(tracker.findProblem('f', MAX_SILENCE_MS), 'silent')
  tracker.recordConfirmation('f', 5, MAX_SILENCE_MS)
  tracker.recordSourceLoss('f')
  assert.is(tracker.findProblem('f', MAX_SILENCE_MS), 'lost the source')
  tracker.recordConfirmation('f', 5, MAX_SILENCE_MS)
  assert.is(tracker.findProblem('f', MAX_SILENCE_MS), undefined)
})

test('a feeder that forwards an old answer of the source late does not make the answer newer', () => {
  const tracker = new FeederTracker()
  tracker.setRevision(5, 0)
  tracker.recordConfirmation('f', 5, 0, MAX_SILENCE_MS)
  assert.is(tracker.findProblem('f', MAX_SILENCE_MS), 'silent')
})

test('a feeder that stays behind another one becomes unreliable, however often it sends confirmations', () => {
  const tracker = new FeederTracker()
  tracker.setRevision(5, 0)
  tracker.recordConfirmation('stalled', 5, 0)
  tracker.setRevision(6, 100)
  assert.is(tracker.findProblem('stalled', 100), undefined)
  tracker.recordConfirmation('stalled', 5, 100 + MAX_BEHIND_MS)
  assert.is(tracker.findProblem('stalled', 100 + MAX_BEHIND_MS), 'behind')
  tracker.recordConfirmation('stalled', 6, 200 + MAX_BEHIND_MS)
  assert.is(tracker.findProblem('stalled', 200 + MAX_BEHIND_MS), undefined)
})

test('a history lists all changes after any available revision, and undefined after earlier ones', () => {
  const history = new ChangeHistory(0, 10)
  for (let revision = 1; revision <= 20; revision++) assert.ok(history.add({ after: revision - 1, revision, changes: [createChange(revision)] }))
  assert.is(history.listSince(9), undefined)
  assert.equal(history.listSince(10)?.changes.map(change => change.revision), [11, 12, 13, 14, 15, 16, 17, 18, 19, 20])
  assert.equal(history.listSince(20), { after: 20, revision: 20, changes: [] })
})

test('a history adds overlapping changes once, and refuses changes that would leave a gap', () => {
  const history = new ChangeHistory(3)
  assert.ok(history.add({ after: 3, revision: 6, changes: [4, 6].map(createChange) }))
  assert.ok(history.add({ after: 4, revision: 7, changes: [6, 7].map(createChange) }))
  assert.equal(history.listSince(3)?.changes.map(change => change.revision), [4, 6, 7])
  assert.not(history.add({ after: 9, revision: 10, changes: [createChange(10)] }))
  assert.is(history.revision, 7)
})

test('revisions never decrease and no change is applied twice, in whatever order changes from two senders arrive', () => {
  const all = Array.from({ length: 12 }, (_, index) => createChange(index + 1))
  const batch = fc.tuple(fc.nat({ max: 12 }), fc.nat({ max: 12 })).map(([one, other]) => ({ after: Math.min(one, other), revision: Math.max(one, other) }))
  fc.assert(fc.property(fc.array(batch, { maxLength: 20 }), batches => {
    let known = 0
    const applied: number[] = []
    for (const { after, revision } of batches) {
      // Changes after a gap are requested again.
      if (after > known) continue
      const added = dropKnownChanges({ after, revision, changes: all.slice(after, revision) }, known)
      assert.ok(added.revision >= known)
      applied.push(...added.changes.map(change => change.revision))
      known = added.revision
    }
    assert.equal(applied, all.slice(0, known).map(change => change.revision))
  }), { seed: SEED })
})

test.run()
