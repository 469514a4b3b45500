import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { PauseGuard } from '../common/pauseGuard.ts'

const test = suite('pauseGuard')

test('a gap is seen by whoever looks first, and stays until the view was read anew', () => {
  const clock = new VirtualClock()
  const guard = new PauseGuard({ clock, getTimeOfDay: () => clock.now(), maxGapMs: 500 })
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
  const guard = new PauseGuard({ clock, getTimeOfDay: () => clock.now(), maxGapMs: 500 })
  clock.advance(600)
  guard.observe()
  clock.advance(600)
  guard.markRefreshed()
  assert.ok(guard.isStale)
})

/** The clocks of a machine: a suspension moves one of them, and so does whoever sets the time of day. */
class MachineClocks {
  readonly steady = new VirtualClock()
  private _aheadMs = 1_700_000_000_000

  readonly getTimeOfDay = () => this.steady.now() + this._aheadMs

  addAhead (ms: number): void {
    this._aheadMs += ms
  }
}

// A machine was suspended for seconds and went on with what it had believed before: upstreams that had left meanwhile,
// answers that nobody waited for any more. The clock that it measures pauses by had not moved at all.
test('a suspension that the steady clock leaves out is a pause', () => {
  const clocks = new MachineClocks()
  const guard = new PauseGuard({ clock: clocks.steady, getTimeOfDay: clocks.getTimeOfDay })
  clocks.steady.advance(50)
  assert.not(guard.isStale)
  clocks.addAhead(5000)
  assert.ok(guard.isStale)
  guard.markRefreshed()
  clocks.steady.advance(50)
  assert.not(guard.isStale)
  assert.is(guard.pauseCount, 1)
})

test('a time of day that drifts, or is set back, is none', () => {
  const clocks = new MachineClocks()
  const guard = new PauseGuard({ clock: clocks.steady, getTimeOfDay: clocks.getTimeOfDay })
  for (let second = 0; second < 100; second++) {
    clocks.steady.advance(50)
    clocks.addAhead(20)
    assert.not(guard.isStale)
  }
  clocks.addAhead(-3000)
  assert.not(guard.isStale)
})

test.run()
