/**
 * Several upstreams are lost at one moment, with all that they run, and most of it can go on elsewhere. The retries that
 * the fleet may make are shared out by nodes: each of 89 had not quite two at hand, and earned one in some seconds, so
 * what a node could not pay for ended as unknown while others had retries to spare.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import type { RetryPolicy } from '../common/retryPolicy.ts'
import { WindowedRetries } from '../common/windowedRetries.ts'

const test = suite('lostUpstreams')

const NODES = 89
const REQUESTS_PER_S = 204
/** All nodes together may make so many retries for each first attempt of a window, and so many more. */
const SHARE = 0.2
const SPARE = 218
const WINDOW_MS = 10_000
/** 16 of 98 upstreams with two or three runs each, and as many requests that are sent there before it is known. */
const LOST_RUNS = 80
const STEP_MS = 100

function createPolicy (clock: VirtualClock): RetryPolicy {
  return new WindowedRetries({ clock, windowMs: WINDOW_MS, share: SHARE * 0.8, getSpare: () => SPARE * 0.8 / NODES })
}

test('what runs at several upstreams that are lost together is tried again, within what the fleet may', () => {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const nodes = Array.from({ length: NODES }, () => createPolicy(clock))
  const pick = () => nodes[Math.floor(random.next() * NODES)]
  for (let at = 0; at < WINDOW_MS; at += STEP_MS) {
    for (let count = 0; count < REQUESTS_PER_S * STEP_MS / 1000; count++) pick()?.recordFirstAttempt('model')
    clock.advance(STEP_MS)
  }
  let retried = 0
  for (let run = 0; run < LOST_RUNS; run++) if (pick()?.takeRetry('model') === true) retried++
  assert.ok(retried <= SPARE + SHARE * REQUESTS_PER_S * WINDOW_MS / 1000)
  assert.ok(retried >= LOST_RUNS * 0.95, `${retried} of ${LOST_RUNS}`)
})

test('in no window does a node make more retries than its part', () => {
  const event = fc.record({ afterMs: fc.integer({ min: 0, max: 3000 }), firsts: fc.integer({ min: 0, max: 20 }), retries: fc.integer({ min: 0, max: 10 }) })
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), events => {
    const clock = new VirtualClock(1234)
    const policy = new WindowedRetries({ clock, windowMs: WINDOW_MS, share: SHARE, getSpare: () => 2 })
    const firstsAt: number[] = []
    const retriedAt: number[] = []
    for (const { afterMs, firsts, retries } of events) {
      clock.advance(afterMs)
      for (let count = 0; count < firsts; count++) {
        policy.recordFirstAttempt('model')
        firstsAt.push(clock.now())
      }
      for (let count = 0; count < retries; count++) if (policy.takeRetry('model')) retriedAt.push(clock.now())
      const countSince = (times: readonly number[]) => times.filter(at => clock.now() - at < WINDOW_MS).length
      assert.ok(countSince(retriedAt) <= 2 + SHARE * countSince(firstsAt))
    }
  }), { seed: 20261203 })
})

test.run()
