import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countSeparateEnds, decideGuilt } from '../common/crashEvidence.ts'
import type { EndedRun } from '../common/crashEvidence.ts'

const test = suite('crashEvidence')

/** A run of a request at an upstream; times in seconds. */
function createRun (digest: string, upstream: string, sentS: number, endedS: number): EndedRun {
  return { digest, bodyBytes: 9, upstream, sentAt: sentS * 1000, endedAt: endedS * 1000 }
}

/** Each text names the requests that were at one end; ends come a second apart, and runs last for half of one. */
function decide (...ends: readonly string[]): string {
  return decideBeside('', ...ends)
}

/** As `decide`, where some requests were answered after an end under them. */
function decideBeside (served: string, ...ends: readonly string[]): string {
  const evidence = new Map<string, EndedRun[]>()
  for (const [index, present] of ends.entries()) {
    for (const digest of present) evidence.set(digest, [...evidence.get(digest) ?? [], createRun(digest, `u${index}`, index, index + 0.5)])
  }
  return [...decideGuilt(evidence, new Set(served)).guilty].sort().join('')
}

test('a request at three ends, one after the other, is guilty; those beside it are not', () => {
  assert.is(decide('gabc', 'gdc', 'gae'), 'g')
  assert.is(decide('ga', 'gb'), '')
})

test('what a guilty request explains speaks against nobody else, however often they were there', () => {
  assert.is(decide('ga', 'g', 'ga', 'ga'), 'g')
  assert.is(decide('gi', 'gi', 'g', 'gi', 'i'), 'g')
})

test('two that are guilty are both found; an end at which both were counts for one of them', () => {
  assert.is(decide('g', 'gh', 'g', 'h', 'h', 'h'), 'h')
  assert.is(decide('g', 'gh', 'g', 'h', 'h', 'h', 'g'), 'gh')
})

test('where two were at the same three ends, neither is held guilty until an end tells them apart', () => {
  assert.is(decide('gi', 'gi', 'gi'), '')
  assert.is(decide('gi', 'gi', 'gi', 'g'), 'g')
  assert.is(decide('gi', 'gi', 'gi', 'i'), 'i')
})

test('a request that was answered since is not taken for what ended upstreams beside it, however often it was there', () => {
  assert.is(decideBeside('p', 'gp', 'gp', 'g', 'hp', 'hp', 'h'), 'gh')
  assert.is(decideBeside('p', 'gp', 'hp', 'ip', 'jp', 'kp'), '')
  assert.is(decideBeside('p', 'p', 'p', 'p', 'p', 'p'), '')
  // It may have begun to, as when upstreams got other software.
  assert.is(decideBeside('p', 'p', 'p', 'p', 'p', 'p', 'p'), 'p')
})

test('upstreams that end together count once for a request that many callers send', () => {
  const together = ['a', 'b', 'c', 'd'].map((upstream, index) => createRun('p', upstream, 1 - index / 10, 2 + index / 1000))
  assert.is(countSeparateEnds(together), 1)
  assert.is(countSeparateEnds([...together, createRun('p', 'e', 2.1, 3)]), 2)
})

test('tries that overlap count once, in whatever order they are told', () => {
  const runs = [createRun('g', 'a', 0, 1), createRun('g', 'b', 0.5, 1.2), createRun('g', 'c', 1.1, 2), createRun('g', 'd', 2, 3)]
  assert.is(countSeparateEnds(runs), 3)
  assert.is(countSeparateEnds([...runs].reverse()), 3)
})

test.run()
