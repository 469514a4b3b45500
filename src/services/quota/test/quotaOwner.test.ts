import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { AllLimits, StatedLimits } from '../common/limitSource.ts'
import { QuotaOwner } from '../common/quotaOwner.ts'
import { ToldLimits } from '../common/toldLimits.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'

const test = suite('quotaOwner')

const UPSTREAM: UpstreamEntry = { id: 'u', role: 'r', address: '10.0.0.1:80', hall: 'x', slots: 8, isLeaving: false }
const SEED = 20261203
const WINDOW_MS = 4000
const MS_PER_S = 1000
const SETTLE_MS = 1400
const STEP_MS = 20
const HALLS = ['x']

/** What an upstream that accepts so many requests a second may get within the window. */
function computeAllowed (perS: number): number {
  return perS * 1.5 * WINDOW_MS / MS_PER_S + 5
}

function countMost (times: readonly number[]): number {
  return Math.max(0, ...times.map((from, index) => times.slice(index).filter(at => at >= from && at - from < WINDOW_MS).length))
}

/** A node that takes itself for the owner, and gives out what is asked for. */
class FakeOwner {
  isOwner = false
  readonly owner: QuotaOwner

  constructor (clock: VirtualClock, readonly getLimit: () => number | undefined, settleMs = SETTLE_MS) {
    this.owner = new QuotaOwner({ clock, limits: new StatedLimits(getLimit), isOwner: () => this.isOwner, settleMs })
  }
}

for (const perS of [0.25, 1, 4, 20]) {
  test(`requests in demand get nearly all of ${perS} a second, and never more than is allowed`, () => {
    const clock = new VirtualClock()
    const node = new FakeOwner(clock, () => perS, 0)
    node.isOwner = true
    const grantedAt: number[] = []
    const spanMs = 40_000
    for (; clock.now() < spanMs; clock.advance(STEP_MS)) {
      for (let tries = 0; tries < 3; tries++) if (node.owner.acquire(UPSTREAM).isGranted) grantedAt.push(clock.now())
    }
    assert.ok(grantedAt.length >= 0.9 * perS * spanMs / MS_PER_S, `${grantedAt.length} granted`)
    assert.ok(countMost(grantedAt) <= computeAllowed(perS), `${countMost(grantedAt)} in a window`)
  })
}

test('a limit of 0 lets a request through now and then, so that the upstream can take it back', () => {
  const clock = new VirtualClock()
  const node = new FakeOwner(clock, () => 0, 0)
  node.isOwner = true
  let granted = 0
  for (; clock.now() < 40_000; clock.advance(STEP_MS)) if (node.owner.acquire(UPSTREAM).isGranted) granted++
  assert.ok(granted >= 10 && granted <= 12, `${granted} granted`)
})

test('owners that follow each other at any moments keep the limit together', () => {
  const turns = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 3000 }), overlapMs: fc.integer({ min: 0, max: 800 }) }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(turns, fc.constantFrom(0.25, 1, 4, 20), (changes, perS) => {
    const clock = new VirtualClock()
    const nodes = [0, 1].map(() => new FakeOwner(clock, () => perS))
    const grantedAt: number[] = []
    const run = (forMs: number) => {
      for (let passed = 0; passed < forMs; passed += STEP_MS) {
        for (const { owner } of nodes) {
          owner.refresh(HALLS)
          if (owner.acquire(UPSTREAM).isGranted) grantedAt.push(clock.now())
        }
        clock.advance(STEP_MS)
      }
    }
    changes.forEach(({ afterMs, overlapMs }, turn) => {
      const [next, last] = turn % 2 === 0 ? nodes : [...nodes].reverse()
      assert.ok(next && last)
      next.isOwner = true
      run(overlapMs)
      last.isOwner = false
      run(afterMs)
    })
    assert.ok(countMost(grantedAt) <= computeAllowed(perS), `${countMost(grantedAt)} in a window with ${perS} a second`)
  }), { seed: SEED, numRuns: 60 })
})

test('what another node owns is not given out, and neither is what was owned before a pause', () => {
  const clock = new VirtualClock()
  const node = new FakeOwner(clock, () => 4)
  assert.not(node.owner.acquire(UPSTREAM).isGranted)
  node.isOwner = true
  node.owner.refresh(HALLS)
  clock.advance(SETTLE_MS)
  assert.ok(node.owner.acquire(UPSTREAM).isGranted)
  node.owner.forgetOwned()
  assert.equal(node.owner.acquire(UPSTREAM), { isGranted: false, retryInMs: SETTLE_MS })
})

// An owner that was behind the store granted 14 requests in 400 ms at an upstream that those who asked it knew to be cold.
test('an owner that has not heard of a limit keeps what those who ask it know', () => {
  const clock = new VirtualClock()
  const told = new ToldLimits(clock)
  const owner = new QuotaOwner({ clock, limits: new AllLimits([new StatedLimits(() => undefined), told]), isOwner: () => true, settleMs: 0 })
  const grantedAt: number[] = []
  for (; clock.now() < WINDOW_MS; clock.advance(STEP_MS)) {
    told.note(UPSTREAM.id, { perS: 4, burst: 2 })
    if (owner.acquire(UPSTREAM).isGranted) grantedAt.push(clock.now())
  }
  assert.ok(grantedAt.length >= 0.9 * 4 * WINDOW_MS / MS_PER_S && countMost(grantedAt) <= computeAllowed(4), `${grantedAt.length} granted`)
  assert.is(told.find({ ...UPSTREAM, id: 'v' }), undefined)
  clock.advance(2000)
  assert.is(told.find(UPSTREAM), undefined)
  assert.ok(owner.acquire(UPSTREAM).isGranted)
})

test('an upstream without a limit is free to use, whoever owns its quota', () => {
  assert.ok(new FakeOwner(new VirtualClock(), () => undefined).owner.acquire(UPSTREAM).isGranted)
})

test.run()
