import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { AttemptArrival } from '../common/attemptArrival.ts'
import { WindowedRetryBudget } from '../common/windowedRetryBudget.ts'

const test = suite('windowedRetryBudget')

const WINDOW_MS = 10_000

function createBudget (clock: VirtualClock): WindowedRetryBudget {
  const share = { baseRetries: 2, nodeCount: 1 }
  return new WindowedRetryBudget({ clock, windowMs: WINDOW_MS, retryRatio: 0.2, getShare: () => share })
}

/** Retries that count, and those of them that may still arrive. */
function readCounts (budget: WindowedRetryBudget): readonly number[] {
  const { usedCount, openCount = NaN, permit } = budget.acquireRetry('model')
  permit?.dispose()
  return [usedCount, openCount]
}

// Retries that wait for an upstream arrive in a later window than the one in which they were granted.
test('a retry counts from when it is sent, and until then as well', () => {
  const clock = new VirtualClock()
  const budget = createBudget(clock)
  const first = budget.acquireRetry('model').permit
  budget.acquireRetry('model').permit?.recordSent()
  clock.advance(WINDOW_MS - 1)
  first?.recordSent()
  clock.advance(2)
  assert.is(budget.acquireRetry('model').usedCount, 1)
  clock.advance(WINDOW_MS)
  assert.is(budget.acquireRetry('model').usedCount, 1)
})

test('a retry that is not sent is given back, once', () => {
  const budget = createBudget(new VirtualClock())
  const permit = budget.acquireRetry('model').permit
  budget.acquireRetry('model').permit?.recordSent()
  assert.is(budget.acquireRetry('model').permit, undefined)
  permit?.dispose()
  permit?.dispose()
  permit?.recordSent()
  assert.is(budget.acquireRetry('model').usedCount, 1)
  assert.is(budget.refusedCount, 1)
})

test('a retry counts until neither it nor the attempt before it can arrive, and for a window from then on', () => {
  const clock = new VirtualClock()
  const budget = createBudget(clock)
  const [earlier, own] = [new AttemptArrival(), new AttemptArrival()]
  const { permit } = budget.acquireRetry('model')
  permit?.recordSent([earlier, own])
  permit?.dispose()
  own.settle()
  clock.advance(3 * WINDOW_MS)
  assert.equal(readCounts(budget), [1, 1])
  earlier.settle()
  clock.advance(WINDOW_MS - 1)
  assert.is(readCounts(budget)[0], 1)
  clock.advance(1)
  assert.equal(readCounts(budget), [0, 0])
})

test.run()
