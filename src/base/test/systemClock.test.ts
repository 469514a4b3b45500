import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../node/systemClock.ts'
import { waitUntil } from './polling.ts'

const test = suite('systemClock')

test('adding suspended time advances the clock, and timers that are due run at once', async () => {
  const clock = new SystemClock()
  const startedAt = clock.now()
  const ran: string[] = []
  clock.schedule(5000, () => ran.push('due'))
  clock.schedule(60_000, () => ran.push('not due')).dispose()
  const later = clock.schedule(60_000, () => ran.push('later'))
  clock.addSuspendedTime(5000)
  assert.ok(clock.now() - startedAt >= 5000)
  assert.ok(await waitUntil(() => ran.length > 0, 1000))
  later.dispose()
  clock.addSuspendedTime(100_000)
  await new Promise(resolve => { setTimeout(resolve, 20) })
  assert.equal(ran, ['due'])
})

test('a timer with the maximum delay does not run at once', async () => {
  const clock = new SystemClock()
  let count = 0
  const timers = Array.from({ length: 200 }, () => clock.schedule(2 ** 31 - 1, () => { count++ }))
  await new Promise(resolve => { setTimeout(resolve, 20) })
  for (const timer of timers) timer.dispose()
  assert.is(count, 0)
})

test.run()
