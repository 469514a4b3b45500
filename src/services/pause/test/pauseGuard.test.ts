import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { PauseGuard } from '../common/pauseGuard.ts'

const test = suite('pauseGuard')

test('a gap is seen by whoever looks first, and stays until the view was read anew', () => {
  const clock = new VirtualClock()
  const guard = new PauseGuard(clock, 500)
  clock.advance(400)
  assert.not(guard.isStale)
  clock.advance(501)
  assert.ok(guard.isStale)
  clock.advance(10)
  guard.observe()
  assert.ok(guard.isStale)
  guard.markRefreshed()
  assert.not(guard.isStale)
  assert.is(guard.pauseCount, 1)
})

test('a pause during the reading is seen as well', () => {
  const clock = new VirtualClock()
  const guard = new PauseGuard(clock, 500)
  clock.advance(600)
  guard.observe()
  clock.advance(600)
  guard.markRefreshed()
  assert.ok(guard.isStale)
})

test.run()
