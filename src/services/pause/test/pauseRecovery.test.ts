import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { PauseGuard } from '../common/pauseGuard.ts'
import { PeerClocks } from '../common/peerClocks.ts'
import { PauseRecovery } from '../node/pauseRecovery.ts'

const test = suite('pauseRecovery')

/** A process and a peer on another machine, whose clock began at another moment. */
class Machines {
  readonly own = new VirtualClock(1000)
  readonly peer = new VirtualClock(70_000)
  readonly lines: string[] = []
  readCount = 0
  private readonly _clocks = new PeerClocks()
  private _timeOfDay = 0
  readonly guard = new PauseGuard({ clock: this.own, getTimeOfDay: () => this.own.now() + this._timeOfDay })
  readonly recovery: PauseRecovery

  constructor () {
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(({ line }) => this.lines.push(line.replace(/^.*event=/, '')))
    this.recovery = new PauseRecovery({
      clock: this.own,
      log,
      guard: this.guard,
      comparePeers: () => Promise.resolve(this.comparePeer()),
      readAnew: () => { this.readCount++; return Promise.resolve() }
    })
    this.comparePeer()
  }

  /** The peer answers a probe. */
  comparePeer (): void {
    this.recovery.noteGain(this._clocks.compare('peer', this.peer.now(), this.own.now()))
  }

  advance (ms: number): void {
    this.own.advance(ms)
    this.peer.advance(ms)
  }

  /** This machine stands still for a while, and its steady clock with it. */
  addSuspension (ms: number): void {
    this.peer.advance(ms)
    this._timeOfDay += ms
    // The clock takes the time in by and by, and the time of day has it already.
    const before = this.own.now()
    this.own.addSuspended = added => {
      this.own.advance(added)
      this._timeOfDay -= this.own.now() - before
    }
  }

  setTimeOfDay (ms: number): void {
    this._timeOfDay += ms
  }
}

test('after a suspension the clock follows, and work is taken once all was read anew', async () => {
  const machines = new Machines()
  machines.advance(50)
  const before = machines.own.now()
  machines.addSuspension(5000)
  machines.recovery.observe()
  assert.ok(machines.guard.isStale)
  await new Promise(resolve => { setImmediate(resolve) })
  assert.is(machines.own.now(), before + 5000)
  assert.not(machines.guard.isStale)
  assert.is(machines.readCount, 1)
  assert.equal(machines.lines, ['paused pauses=1 time_of_day_jump_ms=5000', 'suspended for_ms=5000 peer_gain_ms=5000'])
})

test('a peer\'s word may come before this process has looked', async () => {
  const machines = new Machines()
  machines.addSuspension(3000)
  machines.comparePeer()
  assert.is(machines.own.now(), 4000)
  await new Promise(resolve => { setImmediate(resolve) })
  assert.not(machines.guard.isStale)
  assert.is(machines.readCount, 1)
})

test('where only the time of day was set, all is read anew and the clock stays', async () => {
  const machines = new Machines()
  machines.setTimeOfDay(2000)
  machines.recovery.observe()
  await new Promise(resolve => { setImmediate(resolve) })
  assert.is(machines.own.now(), 1000)
  assert.not(machines.guard.isStale)
  assert.equal(machines.lines, ['paused pauses=1 time_of_day_jump_ms=2000', 'time_of_day_set ahead_ms=2000'])
})

test('a peer that was suspended itself, and follows its own clock, changes nothing here', () => {
  const machines = new Machines()
  machines.peer.advance(5000)
  machines.comparePeer()
  assert.is(machines.own.now(), 1000)
  assert.not(machines.guard.isStale)
})

test.run()
