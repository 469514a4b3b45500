/**
 * Several upstreams are lost at one moment, with all that they run, and most of it can go on elsewhere. The retries that
 * the fleet may make are shared out by nodes: each of 89 had not quite two at hand, and earned one in some seconds, so
 * what a node could not pay for ended as unknown while others had retries to spare.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { RetryBudget } from '../common/retryPolicy.ts'
import type { RetryPolicy } from '../common/retryPolicy.ts'

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

function createPolicy (_clock: VirtualClock): RetryPolicy {
  return new RetryBudget({ share: SHARE * 0.8, maxSaved: SPARE * 0.8 / NODES })
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

test.run()
