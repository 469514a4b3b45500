import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { PauseDetector } from '../common/pauseDetector.ts'

const test = suite('pauseDetector')

test('a gap is detected by the first check, and the state is stale until it is refreshed', () => {
  const clock = new VirtualClock()
  const detector = new PauseDetector({ clock, getTimeOfDay: () => clock.now(), maxGapMs: 500 })
  clock.advance(400)
  assert.not(detector.isStale)
  clock.advance(501)
  assert.ok(detector.isStale)
  clock.advance(10)
  detector.checkClocks()
  assert.ok(detector.isStale)
  detector.markRefreshed()
  assert.not(detector.isStale)
  assert.is(detector.pauseCount, 1)
})

test('a pause during the refresh is detected as well', () => {
  const clock = new VirtualClock()
  const detector = new PauseDetector({ clock, getTimeOfDay: () => clock.now(), maxGapMs: 500 })
  clock.advance(600)
  detector.checkClocks()
  clock.advance(600)
  detector.markRefreshed()
  assert.ok(detector.isStale)
})

/** The clocks of a machine. A suspension advances only the wall time, and so does setting the time of day. */
class MachineClocks {
  readonly monotonic = new VirtualClock()
  private _offsetMs = 1_700_000_000_000

  readonly getTimeOfDay = () => this.monotonic.now() + this._offsetMs

  addOffset (ms: number): void {
    this._offsetMs += ms
  }
}

// Guards against a process that continues with outdated state after its machine was suspended for seconds: it used
// upstreams that had left and sent answers that nobody waited for. Its monotonic clock does not advance in that time.
test('a suspension that the monotonic clock leaves out is detected as a pause', () => {
  const clocks = new MachineClocks()
  const detector = new PauseDetector({ clock: clocks.monotonic, getTimeOfDay: clocks.getTimeOfDay })
  clocks.monotonic.advance(50)
  assert.not(detector.isStale)
  clocks.addOffset(5000)
  assert.ok(detector.isStale)
  detector.markRefreshed()
  clocks.monotonic.advance(50)
  assert.not(detector.isStale)
  assert.is(detector.pauseCount, 1)
})

test('a time of day that drifts or is set back is not a pause', () => {
  const clocks = new MachineClocks()
  const detector = new PauseDetector({ clock: clocks.monotonic, getTimeOfDay: clocks.getTimeOfDay })
  for (let second = 0; second < 100; second++) {
    clocks.monotonic.advance(50)
    clocks.addOffset(20)
    assert.not(detector.isStale)
  }
  clocks.addOffset(-3000)
  assert.not(detector.isStale)
})

test.run()
