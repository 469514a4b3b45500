import { performance } from 'node:perf_hooks'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startInterval, waitFor } from '../node/interval.ts'

const test = suite('interval')

/** Guards against tasks that run early, too seldom or after their disposal because they share a timer. */
test('tasks of different periods run as often as their periods say', async () => {
  const startedAt = performance.now()
  const runs = new Map<number, number[]>([[50, []], [100, []], [150, []], [70, []]])
  const intervals = [...runs].map(([periodMs, times]) => startInterval(periodMs, () => times.push(performance.now() - startedAt)))
  await waitFor(1000)
  for (const interval of intervals) interval.dispose()
  const elapsedMs = performance.now() - startedAt
  const counts = [...runs].map(([, times]) => times.length)
  for (const [periodMs, times] of runs) {
    // Timers of Node.js may fire up to one millisecond early.
    assert.ok((times[0] ?? 0) >= periodMs - 1, `period ${periodMs}, first run after ${times[0]} ms`)
    assert.ok(times.length <= elapsedMs / periodMs + 1, `period ${periodMs}, ${times.length} runs in ${elapsedMs} ms`)
    assert.ok(times.length > 0, `period ${periodMs}, no run`)
  }
  await waitFor(200)
  assert.equal([...runs].map(([, times]) => times.length), counts)
})

/** Guards against a burst of runs for the time in which the process could not run. */
test('runs that were missed are left out', async () => {
  let count = 0
  const interval = startInterval(50, () => { count++ })
  const blockedUntil = performance.now() + 500
  while (performance.now() < blockedUntil);
  await waitFor(20)
  assert.ok(count <= 2, `${count} runs`)
  interval.dispose()
})

test.run()
