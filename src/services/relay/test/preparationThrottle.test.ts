import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { PreparationThrottle } from '../common/preparationThrottle.ts'
import type { ThrottleChange } from '../common/preparationThrottle.ts'

const test = suite('preparationThrottle')

const ROLE = 'model'
const STEP_MS = 100

/** A node that gets one request of each of three priorities in each step, and sends those that it admits. */
class ThrottledNode {
  private readonly _clock = new VirtualClock()
  private readonly _random = SeededRandom.createMixed(7)
  readonly changes: ThrottleChange[] = []
  readonly throttle = new PreparationThrottle({ clock: this._clock, random: this._random, onDidChange: change => this.changes.push(change) })
  readonly admitted = new Map<number, number>()
  readonly returnsMs: number[] = []

  /** Passes time without requests. */
  wait (forMs: number): void {
    this._clock.advance(forMs)
  }

  run (forMs: number, acceptedShare: number): void {
    this.admitted.clear()
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      for (const priority of [0, 1, 2]) {
        const refusal = this.throttle.findRefusal(ROLE, priority)
        if (refusal !== undefined) {
          this.returnsMs.push(refusal.retryAfterMs)
          continue
        }
        this.admitted.set(priority, (this.admitted.get(priority) ?? 0) + 1)
        this.throttle.recordSend(ROLE, this._random.next() < acceptedShare)
      }
      this._clock.advance(STEP_MS)
    }
  }
}

test('nothing is refused while upstreams accept most of the requests', () => {
  const node = new ThrottledNode()
  node.run(20_000, 0.8)
  assert.equal(node.changes, [])
  assert.is(node.throttle.refusedCount, 0)
})

// Guards against preparing inputs whose results are discarded, since upstreams refuse nine of ten requests.
test('while upstreams refuse nine of ten requests, about three times as many are admitted as are accepted, the most urgent first', () => {
  const node = new ThrottledNode()
  node.run(2000, 0.1)
  assert.ok(node.changes[0]?.isThrottled)
  node.run(10_000, 0.1)
  const [urgent = 0, usual = 0, patient = 0] = [0, 1, 2].map(priority => node.admitted.get(priority))
  assert.ok(urgent + usual + patient > 0.25 * 300 && urgent + usual + patient < 0.5 * 300, `${urgent}, ${usual} and ${patient} admitted`)
  assert.ok(urgent > 2 * (usual + patient))
  assert.ok(Math.max(...node.returnsMs) > 2 * Math.min(...node.returnsMs), 'callers return at different times')
})

test('all are admitted 1.5 s after upstreams accept again, and when nothing was sent for a while', () => {
  const node = new ThrottledNode()
  node.run(5000, 0)
  node.run(1500, 1)
  node.run(1000, 1)
  assert.equal([...node.admitted.values()], [10, 10, 10])
  node.run(5000, 0)
  assert.ok(node.changes.at(-1)?.isThrottled)
  node.wait(5000)
  assert.is(node.throttle.findRefusal(ROLE, 2), undefined)
  assert.not(node.changes.at(-1)?.isThrottled)
})

test.run()
