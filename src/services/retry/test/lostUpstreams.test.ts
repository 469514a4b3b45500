/**
 * Several upstreams are lost at once with all their runs, most of which can be retried on other upstreams. Guards against a
 * retry budget that is split too finely between nodes: each of 89 nodes had saved fewer than two retries and earned another
 * one only every few seconds, so requests on some nodes ended as unknown while other nodes had unused retries.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import type { RetryPolicy } from '../common/retryPolicy.ts'
import { WindowedRetryBudget } from '../common/windowedRetryBudget.ts'

const test = suite('lostUpstreams')

const NODES = 89
const REQUESTS_PER_S = 204
/** Retries that all nodes together may make in a window: a ratio of the first attempts, plus a base number. */
const RETRY_RATIO = 0.2
const BASE_RETRIES = 218
const WINDOW_MS = 10_000
/** 16 of 98 upstreams with two or three runs each, and as many requests that are sent to them before the loss is known. */
const LOST_RUNS = 80
const STEP_MS = 100

function createPolicy (clock: VirtualClock): RetryPolicy {
  return new WindowedRetryBudget({ clock, windowMs: WINDOW_MS, retryRatio: RETRY_RATIO * 0.8, getShare: () => ({ baseRetries: BASE_RETRIES * 0.8 / NODES, nodeCount: NODES }) })
}

/** Sends a retry if the policy allows it. */
function tryRetry (policy: RetryPolicy | undefined): boolean {
  const permit = policy?.acquireRetry('model').permit
  permit?.recordSent()
  return permit !== undefined
}

test('runs at several upstreams that are lost together are retried within the budget of the fleet', () => {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const nodes = Array.from({ length: NODES }, () => createPolicy(clock))
  const pick = () => nodes[Math.floor(random.next() * NODES)]
  for (let at = 0; at < WINDOW_MS; at += STEP_MS) {
    for (let count = 0; count < REQUESTS_PER_S * STEP_MS / 1000; count++) pick()?.recordFirstAttempt('model')
    clock.advance(STEP_MS)
  }
  let retried = 0
  for (let run = 0; run < LOST_RUNS; run++) if (tryRetry(pick())) retried++
  assert.ok(retried <= BASE_RETRIES + RETRY_RATIO * REQUESTS_PER_S * WINDOW_MS / 1000)
  assert.ok(retried >= LOST_RUNS * 0.95, `${retried} of ${LOST_RUNS}`)
})

test('no node exceeds its share of the retries in any window', () => {
  const event = fc.record({ afterMs: fc.integer({ min: 0, max: 3000 }), firsts: fc.integer({ min: 0, max: 20 }), retries: fc.integer({ min: 0, max: 10 }) })
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), events => {
    const clock = new VirtualClock(1234)
    const policy = new WindowedRetryBudget({ clock, windowMs: WINDOW_MS, retryRatio: RETRY_RATIO, getShare: () => ({ baseRetries: 2, nodeCount: 1 }) })
    const firstsAt: number[] = []
    const retriedAt: number[] = []
    for (const { afterMs, firsts, retries } of events) {
      clock.advance(afterMs)
      for (let count = 0; count < firsts; count++) {
        policy.recordFirstAttempt('model')
        firstsAt.push(clock.now())
      }
      for (let count = 0; count < retries; count++) if (tryRetry(policy)) retriedAt.push(clock.now())
      const countInWindow = (times: readonly number[]) => times.filter(at => clock.now() - at < WINDOW_MS).length
      assert.ok(countInWindow(retriedAt) <= 2 + RETRY_RATIO * countInWindow(firstsAt))
    }
  }), { seed: 20261203 })
})

test.run()
