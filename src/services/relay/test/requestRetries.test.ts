import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { AttemptArrival } from '../../retry/common/attemptArrival.ts'
import { WindowedRetryBudget } from '../../retry/common/windowedRetryBudget.ts'
import type { AttemptOutcome } from '../common/attemptDecision.ts'
import { RequestRetries } from '../node/requestRetries.ts'

const test = suite('requestRetries')

const LOST: AttemptOutcome = { kind: 'lost', reason: 'reset' }

function createRetries () {
  const budget = new WindowedRetryBudget({ clock: new VirtualClock(), windowMs: 10_000, retryRatio: 0.2, getShare: () => ({ baseRetries: 4, nodeCount: 1 }) })
  const retries = new RequestRetries({ policy: budget, role: 'model', maySend: () => true })
  const acquire = () => retries.acquire({ kind: 'retry', isResume: false }, LOST)
  return { budget, retries, acquire }
}

// A permit that took the place of one not yet sent left that one reserved for as long as the process ran.
test('a retry that is granted while the attempt before it waits for a connection is given back with the request', () => {
  const { budget, retries, acquire } = createRetries()
  retries.recordSent(new AttemptArrival())
  acquire()
  acquire()
  retries.dispose()
  assert.is(budget.acquireRetry('model').usedCount, 0)
})

test('the first attempt that is written takes no retry, whichever that is', () => {
  const { budget, retries, acquire } = createRetries()
  acquire()
  const [first, second] = [new AttemptArrival(), new AttemptArrival()]
  retries.recordSent(first)
  retries.recordSent(second)
  retries.dispose()
  assert.is(budget.acquireRetry('model').openCount, 1)
  second.settle()
  assert.is(budget.acquireRetry('model').openCount, 2)
  first.settle()
  assert.is(budget.acquireRetry('model').openCount, 2)
})

test('giving back what was granted last keeps the retry of an attempt that is not written yet', () => {
  const { budget, retries, acquire } = createRetries()
  retries.recordSent(new AttemptArrival())
  acquire()
  acquire()
  retries.releaseUnsent()
  const arrival = new AttemptArrival()
  retries.recordSent(arrival)
  retries.dispose()
  assert.is(budget.acquireRetry('model').usedCount, 1)
})

test.run()
