import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countSeparateCrashes, findCrashCauses } from '../common/crashEvidence.ts'
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
  const evidence = new Map<string, ReadonlySet<CrashedRun>>()
  for (const [index, digests] of crashes.entries()) {
    for (const digest of digests) evidence.set(digest, new Set([...evidence.get(digest) ?? [], createRun(digest, `u${index}`, index, index + 0.5)]))
  }
  return findCrashCauses(evidence, { served: new Set(served) }).causes.flatMap(cause => cause.keys).sort().join('')
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

test('runs at one upstream count once, even if a node sent to it after another had noticed its crash', () => {
  const runs = [createRun('a', 'u', 0, 1), createRun('b', 'u', 1.01, 1.03), createRun('c', 'v', 1.1, 2)]
  assert.is(countSeparateCrashes(runs), 2)
})

test('overlapping attempts count once, in whatever order they are reported', () => {
  const runs = [createRun('g', 'a', 0, 1), createRun('g', 'b', 0.5, 1.2), createRun('g', 'c', 1.1, 2), createRun('g', 'd', 2, 3)]
  assert.is(countSeparateCrashes(runs), 3)
  assert.is(countSeparateCrashes([...runs].reverse()), 3)
})

/**
 * Each string lists the runs in flight at one crash, separated by spaces; each run has a request of its own, whose answer had
 * just begun unless `isStarting` is false, and the parts that its letters name. Returns the parts of each cause, separated by spaces.
 */
function findCrashingParts (served: string, ...crashes: readonly string[]): string {
  return findPartsWith({ served, isStarting: true }, crashes)
}

function findPartsWith ({ served, sound = '', isStarting }: { readonly served: string, readonly sound?: string, readonly isStarting: boolean }, crashes: readonly string[]): string {
  const evidence = new Map<string, ReadonlySet<CrashedRun>>()
  for (const [index, runs] of crashes.entries()) {
    for (const [number, parts] of runs.split(' ').entries()) {
      const run = { ...createRun(`${index}.${number}`, `u${index}`, index, index + 0.5), partKeys: [...parts], isStarting }
      for (const key of [run.digest, ...run.partKeys]) evidence.set(key, new Set([...evidence.get(key) ?? [], run]))
    }
  }
  return findCrashCauses(evidence, { served: new Set(served), sound: new Set(sound) }).causes.map(cause => [...cause.keys].sort().join('')).sort().join(' ')
}

test('different requests with a part in common are found by the part', () => {
  assert.is(findCrashingParts('', 'g', 'ag', 'gb'), 'g')
  assert.is(findCrashingParts('', 'g', 'a', 'b'), '')
})

test('parts that always came together are one cause, until crashes with one of them alone', () => {
  assert.is(findCrashingParts('', 'ag', 'agb', 'agc'), 'ag')
  assert.is(findCrashingParts('', 'ag', 'agb', 'agc', 'g'), 'ag', 'one may be a coincidence')
  assert.is(findCrashingParts('', 'ag', 'agb', 'agc', 'g', 'g'), 'g')
})

test('a popular part in flight at one crash more is not the cause, and one at two crashes more is', () => {
  assert.is(findCrashingParts('', 'ag', 'ag', 'ag', 'a'), 'ag')
  assert.is(findCrashingParts('', 'ag', 'ag', 'ag', 'a', 'a'), 'a')
})

test('a popular part of requests whose answers had just begun beside the crashing ones is not the cause', () => {
  assert.is(findCrashingParts('', 'ag a', 'ag a', 'ag a'), 'ag')
  assert.is(findCrashingParts('', 'ag a ab', 'ag a', 'ag a a', 'a'), 'ag')
})

test('of two parts at the same crashes, the one of fewer requests is the cause', () => {
  assert.is(findCrashingParts('', 'b b g', 'b g', 'b b g'), '')
  assert.is(findCrashingParts('', 'b b g', 'b g', 'b b g', 'b b g'), 'g')
})

test('a part that several narrower groups of requests have explains all of their crashes', () => {
  assert.is(findCrashingParts('', 'gx', 'gx', 'gx', 'gy', 'gz'), 'g')
})

test('if no answer had begun, a part needs two crashes more', () => {
  assert.is(findPartsWith({ served: '', isStarting: false }, ['ag', 'bg', 'cg', 'dg']), '')
  assert.is(findPartsWith({ served: '', isStarting: false }, ['ag', 'bg', 'cg', 'dg', 'eg']), 'g')
})

// Guards against refusing requests with a popular part that was in flight at three crashes within a second.
test('a part that was answered before the crashes needs two more, unless it came with one that was not', () => {
  const options = { served: '', sound: 'ab', isStarting: true }
  assert.is(findPartsWith(options, ['a', 'a b', 'a', 'a']), '')
  assert.is(findPartsWith(options, ['a', 'a', 'a', 'a', 'a']), 'a')
  assert.is(findPartsWith(options, ['ag', 'ag a', 'ag']), 'ag')
})

test('a repeated request is the cause as a whole, not by its parts', () => {
  const runs = [0, 1, 2].map(index => ({ ...createRun('d', `u${index}`, index, index + 0.5), partKeys: ['a'] }))
  const { causes } = findCrashCauses(new Map([['d', new Set(runs)], ['a', new Set(runs)]]))
  assert.equal(causes.map(cause => cause.keys), [['d', 'a']])
})

test('two crashes make a part a suspect, and one does not', () => {
  const listSuspects = (count: number) => {
    const runs = Array.from({ length: count }, (_item, index) => ({ ...createRun(`d${index}`, `u${index}`, index, index + 0.5), partKeys: ['g'], isStarting: true }))
    return findCrashCauses(new Map([...runs.map(run => [run.digest, new Set([run])] as const), ['g', new Set(runs)]])).suspectedParts.map(({ keys }) => keys)
  }
  assert.equal(listSuspects(1), [])
  assert.equal(listSuspects(2), [['g']])
})

test.run()
