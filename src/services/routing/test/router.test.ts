import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import type { Candidate, RoutingRequest } from '../common/candidate.ts'
import { PrefixBelief } from '../common/prefixBelief.ts'
import { EstimatedFinishRouter, LeastReportedRouter, RoundRobinRouter } from '../common/router.ts'

const test = suite('router')
const request: RoutingRequest = { prefixKey: 'k', hall: 'h', usualMs: 100, liveGates: 9 }

function createCandidate (name: string, options: Partial<Candidate> = {}): Candidate {
  return { name, hall: 'h', reportedBacklog: 0, capacity: 8, reportAgeMs: 0, ownInFlight: 0, ownSentSinceReport: 0, ownDoneSinceReport: 0, slowness: 1, prefixBelief: 0, ...options }
}

const router = new EstimatedFinishRouter({ random: new SeededRandom(1) })

const cases: readonly (readonly [string, readonly Candidate[], string])[] = [
  ['the shorter backlog', [createCandidate('a', { reportedBacklog: 12 }), createCandidate('b', { reportedBacklog: 3 })], 'b'],
  ['not the one that this gate has sent to since the report', [createCandidate('a', { ownSentSinceReport: 2 }), createCandidate('b', { reportedBacklog: 4 })], 'b'],
  ['not the slow one, however idle', [createCandidate('a', { slowness: 10 }), createCandidate('b', { reportedBacklog: 7 })], 'b'],
  ['the one with the prefix', [createCandidate('a'), createCandidate('b', { prefixBelief: 1, reportedBacklog: 2 })], 'b'],
  ['not the one with the prefix when it is full', [createCandidate('a'), createCandidate('b', { prefixBelief: 1, reportedBacklog: 16 })], 'a'],
  ['the own hall', [createCandidate('a', { hall: 'x' }), createCandidate('b')], 'b'],
  ['what its calls say when the report says nothing', [createCandidate('a', { ownInFlight: 9 }), createCandidate('b')], 'b']
]

for (const [name, candidates, expected] of cases) {
  test(`chooses ${name}`, () => {
    assert.is(router.choose(request, candidates)?.candidate.name, expected)
    assert.is(router.choose(request, [...candidates].reverse())?.candidate.name, expected)
  })
}

test('requests with one prefix meet, and gates with one old report do not all choose one engine', () => {
  const candidates = Array.from({ length: 100 }, (_, index) => createCandidate(`e${index}`))
  const choices = Array.from({ length: 9 }, (_, gate) => new EstimatedFinishRouter({ random: new SeededRandom(gate) }).choose(request, candidates)?.candidate.name)
  assert.is(new Set(choices).size, 1)
  const spread = Array.from({ length: 50 }, (_, key) => router.choose({ ...request, prefixKey: `k${key}` }, candidates)?.candidate.name)
  assert.ok(new Set(spread).size > 25)
})

test('no candidate, no choice', () => {
  for (const item of [router, new RoundRobinRouter(), new LeastReportedRouter()]) assert.is(item.choose(request, []), undefined)
})

test('belief in a cached prefix fades, and the oldest goes first', () => {
  const belief = new PrefixBelief(1000)
  belief.record('u', 'k', 0)
  assert.is(belief.get('u', 'k', 0), 1)
  assert.is(belief.get('u', 'k', 1000), 0.5)
  for (let index = 0; index < 512; index++) belief.record('u', `k${index}`, 1)
  assert.is(belief.get('u', 'k', 1), 0)
  assert.is(belief.get('u', 'k5', 1), 1)
})

test.run()
