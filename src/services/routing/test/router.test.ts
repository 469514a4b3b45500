import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../../base/common/random.ts'
import type { Candidate, RoutingRequest } from '../common/candidate.ts'
import { PrefixCacheTracker } from '../common/prefixCacheTracker.ts'
import { EstimatedFinishRouter, LeastReportedRouter, RoundRobinRouter } from '../common/router.ts'

const test = suite('router')
const request: RoutingRequest = { prefixKey: 'k', hall: 'h', expectedMs: 100, liveGateCount: 9 }

function createCandidate (name: string, options: Partial<Candidate> = {}): Candidate {
  return { name, hall: 'h', reportedBacklog: 0, capacity: 8, reportAgeMs: 0, ownInFlight: 0, ownSentSinceReport: 0, ownDoneSinceReport: 0, slowness: 1, prefixProbability: 0, ...options }
}

const router = new EstimatedFinishRouter({ random: new SeededRandom(1) })

const cases: readonly (readonly [string, readonly Candidate[], string])[] = [
  ['the shorter backlog', [createCandidate('a', { reportedBacklog: 12 }), createCandidate('b', { reportedBacklog: 3 })], 'b'],
  ['not the one to which this gate has sent calls since the report', [createCandidate('a', { ownSentSinceReport: 2 }), createCandidate('b', { reportedBacklog: 4 })], 'b'],
  ['not the slow one, even if it is idle', [createCandidate('a', { slowness: 10 }), createCandidate('b', { reportedBacklog: 7 })], 'b'],
  ['the one with the prefix', [createCandidate('a'), createCandidate('b', { prefixProbability: 1, reportedBacklog: 2 })], 'b'],
  ['not the one with the prefix when it is full', [createCandidate('a'), createCandidate('b', { prefixProbability: 1, reportedBacklog: 16 })], 'a'],
  ['the one in the same hall', [createCandidate('a', { hall: 'x' }), createCandidate('b')], 'b'],
  ['by calls in flight when the report shows no backlog', [createCandidate('a', { ownInFlight: 9 }), createCandidate('b')], 'b']
]

for (const [name, candidates, expected] of cases) {
  test(`chooses ${name}`, () => {
    assert.is(router.choose(request, candidates)?.candidate.name, expected)
    assert.is(router.choose(request, [...candidates].reverse())?.candidate.name, expected)
  })
}

test('all gates choose the same engine for a prefix, and different prefixes are distributed over the engines', () => {
  const candidates = Array.from({ length: 100 }, (_, index) => createCandidate(`e${index}`))
  const choices = Array.from({ length: 9 }, (_, gate) => new EstimatedFinishRouter({ random: new SeededRandom(gate) }).choose(request, candidates)?.candidate.name)
  assert.is(new Set(choices).size, 1)
  const choicesByPrefix = Array.from({ length: 50 }, (_, key) => router.choose({ ...request, prefixKey: `k${key}` }, candidates)?.candidate.name)
  assert.ok(new Set(choicesByPrefix).size > 25)
})

test('no router chooses without a candidate', () => {
  for (const item of [router, new RoundRobinRouter(), new LeastReportedRouter()]) assert.is(item.choose(request, []), undefined)
})

test('the probability of a cached prefix decays, and the oldest prefix is evicted first', () => {
  const tracker = new PrefixCacheTracker(1000)
  tracker.record('u', 'k', 0)
  assert.is(tracker.getProbability('u', 'k', 0), 1)
  assert.is(tracker.getProbability('u', 'k', 1000), 0.5)
  for (let index = 0; index < 512; index++) tracker.record('u', `k${index}`, 1)
  assert.is(tracker.getProbability('u', 'k', 1), 0)
  assert.is(tracker.getProbability('u', 'k5', 1), 1)
})

test.run()
