import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { PauseDetector } from '../common/pauseDetector.ts'
import { PeerClocks } from '../common/peerClocks.ts'
import { PauseRecovery } from '../node/pauseRecovery.ts'

const test = suite('pauseRecovery')

/** A process and a peer on another machine, whose clock started at another time. */
class Machines {
  readonly own = new VirtualClock(1000)
  readonly peer = new VirtualClock(70_000)
  readonly lines: string[] = []
  readCount = 0
  private readonly _clocks = new PeerClocks()
  private _timeOfDay = 0
  readonly detector = new PauseDetector({ clock: this.own, getTimeOfDay: () => this.own.now() + this._timeOfDay })
  readonly recovery: PauseRecovery

  constructor () {
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(({ line }) => this.lines.push(line.replace(/^.*event=/, '')))
    this.recovery = new PauseRecovery({
      clock: this.own,
      log,
      detector: this.detector,
      comparePeerClocks: () => Promise.resolve(this.comparePeer()),
      refreshState: () => { this.readCount++; return Promise.resolve() }
    })
    this.comparePeer()
  }

  /** The peer answers a probe. */
  comparePeer (): void {
    this.recovery.recordPeerClockGain(this._clocks.compare('peer', this.peer.now(), this.own.now()))
  }

  advance (ms: number): void {
    this.own.advance(ms)
    this.peer.advance(ms)
  }

  /** Suspends this machine for a while, which also stops its monotonic clock. */
  addSuspension (ms: number): void {
    this.peer.advance(ms)
    this._timeOfDay += ms
    // The wall time includes the suspension already, so what is added to the monotonic clock is subtracted from the offset.
    const before = this.own.now()
    this.own.addSuspendedTime = added => {
      this.own.advance(added)
      this._timeOfDay -= this.own.now() - before
    }
  }

  setTimeOfDay (ms: number): void {
    this._timeOfDay += ms
  }
}

test('after a suspension the clock is advanced, and the state is current once it was refreshed', async () => {
  const machines = new Machines()
  machines.advance(50)
  const before = machines.own.now()
  machines.addSuspension(5000)
  machines.recovery.checkForPause()
  assert.ok(machines.detector.isStale)
  await new Promise(resolve => { setImmediate(resolve) })
  assert.is(machines.own.now(), before + 5000)
  assert.not(machines.detector.isStale)
  assert.is(machines.readCount, 1)
  assert.equal(machines.lines, ['paused pauses=1 time_of_day_jump_ms=5000', 'suspended for_ms=5000 peer_gain_ms=5000'])
})

test('a peer\'s clock may be received before this process has detected the pause', async () => {
  const machines = new Machines()
  machines.addSuspension(3000)
  machines.comparePeer()
  assert.is(machines.own.now(), 4000)
  await new Promise(resolve => { setImmediate(resolve) })
  assert.not(machines.detector.isStale)
  assert.is(machines.readCount, 1)
})

test('if only the time of day was set, the state is refreshed and the clock is not advanced', async () => {
  const machines = new Machines()
  machines.setTimeOfDay(2000)
  machines.recovery.checkForPause()
  await new Promise(resolve => { setImmediate(resolve) })
  assert.is(machines.own.now(), 1000)
  assert.not(machines.detector.isStale)
  assert.equal(machines.lines, ['paused pauses=1 time_of_day_jump_ms=2000', 'time_of_day_set ahead_ms=2000'])
})

test('a peer that was suspended itself and advanced its clock has no effect on this process', () => {
  const machines = new Machines()
  machines.peer.advance(5000)
  machines.comparePeer()
  assert.is(machines.own.now(), 1000)
  assert.not(machines.detector.isStale)
})

test.run()
