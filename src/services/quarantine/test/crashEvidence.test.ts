import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countSeparateCrashes, findCrashingRequests } from '../common/crashEvidence.ts'
import type { CrashedRun } from '../common/crashEvidence.ts'

const test = suite('crashEvidence')

/** A run of a request at an upstream; times in seconds. */
function createRun (digest: string, upstream: string, sentS: number, endedS: number): CrashedRun {
  return { digest, bodyBytes: 9, upstream, sentAt: sentS * 1000, crashedAt: endedS * 1000 }
}

/** Each string lists the requests in flight at one crash, one letter each. Crashes are 1 s apart, and runs take 0.5 s. */
function findCrashing (...crashes: readonly string[]): string {
  return findCrashingWithServed('', ...crashes)
}

/** Like `findCrashing`, with requests that were answered after a crash. */
function findCrashingWithServed (served: string, ...crashes: readonly string[]): string {
  const evidence = new Map<string, CrashedRun[]>()
  for (const [index, digests] of crashes.entries()) {
    for (const digest of digests) evidence.set(digest, [...evidence.get(digest) ?? [], createRun(digest, `u${index}`, index, index + 0.5)])
  }
  return [...findCrashingRequests(evidence, new Set(served)).crashingDigests].sort().join('')
}

test('a request in flight at three successive crashes is found to cause them; other requests in flight there are not', () => {
  assert.is(findCrashing('gabc', 'gdc', 'gae'), 'g')
  assert.is(findCrashing('ga', 'gb'), '')
})

test('crashes attributed to one request do not count against others, however often they were in flight there', () => {
  assert.is(findCrashing('ga', 'g', 'ga', 'ga'), 'g')
  assert.is(findCrashing('gi', 'gi', 'g', 'gi', 'i'), 'g')
})

test('two crashing requests are both found; a crash with both in flight counts for one of them', () => {
  assert.is(findCrashing('g', 'gh', 'g', 'h', 'h', 'h'), 'h')
  assert.is(findCrashing('g', 'gh', 'g', 'h', 'h', 'h', 'g'), 'gh')
})

test('two requests in flight at the same three crashes are not distinguished until a further crash with only one of them', () => {
  assert.is(findCrashing('gi', 'gi', 'gi'), '')
  assert.is(findCrashing('gi', 'gi', 'gi', 'g'), 'g')
  assert.is(findCrashing('gi', 'gi', 'gi', 'i'), 'i')
})

test('a request that was answered after a crash is not considered the cause of crashes of other requests, however often it was in flight', () => {
  assert.is(findCrashingWithServed('p', 'gp', 'gp', 'g', 'hp', 'hp', 'h'), 'gh')
  assert.is(findCrashingWithServed('p', 'gp', 'hp', 'ip', 'jp', 'kp'), '')
  assert.is(findCrashingWithServed('p', 'p', 'p', 'p', 'p', 'p'), '')
  // The request may crash upstreams since a change of their software.
  assert.is(findCrashingWithServed('p', 'p', 'p', 'p', 'p', 'p', 'p'), 'p')
})

test('simultaneous crashes count once for a request that many callers send', () => {
  const together = ['a', 'b', 'c', 'd'].map((upstream, index) => createRun('p', upstream, 1 - index / 10, 2 + index / 1000))
  assert.is(countSeparateCrashes(together), 1)
  assert.is(countSeparateCrashes([...together, createRun('p', 'e', 2.1, 3)]), 2)
})

test('overlapping attempts count once, in whatever order they are reported', () => {
  const runs = [createRun('g', 'a', 0, 1), createRun('g', 'b', 0.5, 1.2), createRun('g', 'c', 1.1, 2), createRun('g', 'd', 2, 3)]
  assert.is(countSeparateCrashes(runs), 3)
  assert.is(countSeparateCrashes([...runs].reverse()), 3)
})

test.run()
