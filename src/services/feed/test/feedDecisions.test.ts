import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ChangeHistory } from '../common/changeHistory.ts'
import { FeedBelief, MAX_BEHIND_MS, MAX_SILENCE_MS } from '../common/feedBelief.ts'
import { chooseFeeders, listFeeders, MIN_FED_HOSTS } from '../common/feederChoice.ts'
import { dropKnown } from '../common/sourceChanges.ts'
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

test('each reader has two feeders, one of them in its own hall, and keeps one when any hall is lost', () => {
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
  const one = createFleet(1, MIN_FED_HOSTS)
  assert.is(listFeeders(one).length, 2)
  const few = one.slice(1)
  assert.ok(few.every(host => chooseFeeders(host, listFeeders(few)).length === 0))
})

test('a feeder is relied on only once it was heard and all that it told was taken', () => {
  const belief = new FeedBelief()
  assert.is(belief.findDoubt('f', 0), 'not heard yet')
  belief.noteHeard('f', 5, 0)
  assert.is(belief.findDoubt('f', 0), 'not heard yet')
  belief.setRevision(4, 0)
  assert.is(belief.findDoubt('f', 0), 'ahead')
  belief.setRevision(5, 0)
  assert.equal(belief.listTrusted(0), ['f'])
})

test('a feeder that is silent, or says that it does not hear the source, is not relied on until it is heard again', () => {
  const belief = new FeedBelief()
  belief.setRevision(5, 0)
  belief.noteHeard('f', 5, 0)
  assert.equal(belief.listTrusted(MAX_SILENCE_MS - 1), ['f'])
  assert.is(belief.findDoubt('f', MAX_SILENCE_MS), 'silent')
  belief.noteHeard('f', 5, MAX_SILENCE_MS)
  belief.noteLost('f')
  assert.is(belief.findDoubt('f', MAX_SILENCE_MS), 'lost the source')
  belief.noteHeard('f', 5, MAX_SILENCE_MS)
  assert.is(belief.findDoubt('f', MAX_SILENCE_MS), undefined)
})

test('what a feeder says anew of an old answer of the source does not make the answer newer', () => {
  const belief = new FeedBelief()
  belief.setRevision(5, 0)
  belief.noteHeard('f', 5, 0, MAX_SILENCE_MS)
  assert.is(belief.findDoubt('f', MAX_SILENCE_MS), 'silent')
})

test('a feeder that confirms less than another has told is not relied on for long, however often it confirms', () => {
  const belief = new FeedBelief()
  belief.setRevision(5, 0)
  belief.noteHeard('deaf', 5, 0)
  belief.setRevision(6, 100)
  assert.is(belief.findDoubt('deaf', 100), undefined)
  belief.noteHeard('deaf', 5, 100 + MAX_BEHIND_MS)
  assert.is(belief.findDoubt('deaf', 100 + MAX_BEHIND_MS), 'behind')
  belief.noteHeard('deaf', 6, 200 + MAX_BEHIND_MS)
  assert.is(belief.findDoubt('deaf', 200 + MAX_BEHIND_MS), undefined)
})

test('a history tells all changes after any revision that it holds, and says when it no longer does', () => {
  const history = new ChangeHistory(0, 10)
  for (let revision = 1; revision <= 20; revision++) assert.ok(history.add({ after: revision - 1, revision, changes: [createChange(revision)] }))
  assert.is(history.listSince(9), undefined)
  assert.equal(history.listSince(10)?.changes.map(change => change.revision), [11, 12, 13, 14, 15, 16, 17, 18, 19, 20])
  assert.equal(history.listSince(20), { after: 20, revision: 20, changes: [] })
})

test('a history takes what overlaps once, and refuses what would leave a gap', () => {
  const history = new ChangeHistory(3)
  assert.ok(history.add({ after: 3, revision: 6, changes: [4, 6].map(createChange) }))
  assert.ok(history.add({ after: 4, revision: 7, changes: [6, 7].map(createChange) }))
  assert.equal(history.listSince(3)?.changes.map(change => change.revision), [4, 6, 7])
  assert.not(history.add({ after: 9, revision: 10, changes: [createChange(10)] }))
  assert.is(history.revision, 7)
})

test('revisions never go back, and nothing is told twice, in whatever order two tellers are heard', () => {
  const all = Array.from({ length: 12 }, (_, index) => createChange(index + 1))
  const batch = fc.tuple(fc.nat({ max: 12 }), fc.nat({ max: 12 })).map(([one, other]) => ({ after: Math.min(one, other), revision: Math.max(one, other) }))
  fc.assert(fc.property(fc.array(batch, { maxLength: 20 }), batches => {
    let known = 0
    const taken: number[] = []
    for (const { after, revision } of batches) {
      // A gap is asked for again.
      if (after > known) continue
      const news = dropKnown({ after, revision, changes: all.slice(after, revision) }, known)
      assert.ok(news.revision >= known)
      taken.push(...news.changes.map(change => change.revision))
      known = news.revision
    }
    assert.equal(taken, all.slice(0, known).map(change => change.revision))
  }), { seed: SEED })
})

test.run()
