// Guards against brittle upstreams that fail because the nodes together have more requests refused than the upstream
// tolerates: each node knew only its own refusals, and tried again at once.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { LogService } from '../../log/node/logger.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { BackoffService } from '../node/backoffService.ts'
import { SharedRefusals } from '../node/sharedRefusals.ts'

const test = suite('sharedRefusals')

const UPSTREAM = 'u'
const NODE_COUNT = 8
const MAX_PER_S = 4
/** Each node has a request for the upstream in each period. */
const REQUEST_PERIOD_MS = 200
const GOSSIP_MS = 100
const STEP_MS = 10
const SECOND_MS = 1000

/** Nodes before one brittle upstream; facts reach all nodes after GOSSIP_MS. */
class Fleet extends Disposable {
  readonly clock = new VirtualClock(10_000)
  readonly refusedAt: number[] = []
  servedCount = 0
  isCut = false
  private readonly _nodes = Array.from({ length: NODE_COUNT }, (_item, index) => {
    const { clock } = this
    const registry = this._register(new UpstreamRegistry())
    registry.update({ id: UPSTREAM, role: 'r', address: '127.0.0.1:9', hall: '', slots: 1, isLeaving: false }, 'test')
    const log = new LogService({ program: 'test', silent: true })
    const facts = this._register(new FactStore(clock))
    const backoffs = this._register(new BackoffService({ clock, log, registry }))
    const refusals = this._register(new SharedRefusals({ clock, random: new SeededRandom(index), facts, backoffs, countNodes: () => NODE_COUNT }))
    return { facts, backoffs, refusals, sentFacts: 0 }
  })

  run (forMs: number, isFull: boolean): void {
    for (let ms = 0; ms < forMs; ms += STEP_MS) {
      this.clock.advance(STEP_MS)
      for (const [index, { backoffs, refusals }] of this._nodes.entries()) {
        if ((ms / STEP_MS + index) % (REQUEST_PERIOD_MS / STEP_MS) !== 0 || backoffs.getWaitMs(UPSTREAM) > 0 || !backoffs.beginSend(UPSTREAM)) continue
        const now = this.clock.now()
        backoffs.recordSendResult(UPSTREAM, now, !isFull)
        if (!isFull) this.servedCount++
        else {
          this.refusedAt.push(now)
          refusals.recordRefusal(UPSTREAM, MAX_PER_S)
        }
      }
      if (ms % GOSSIP_MS === 0 && !this.isCut) this._exchangeFacts()
    }
  }

  countMostRefusedInASecond (): number {
    return Math.max(0, ...this.refusedAt.map(from => this.refusedAt.filter(at => at >= from && at < from + SECOND_MS).length))
  }

  private _exchangeFacts (): void {
    for (const node of this._nodes) {
      const facts = node.facts.listSince(node.sentFacts, '')
      node.sentFacts = node.facts.sequence
      for (const other of this._nodes) if (other !== node) for (const fact of facts) other.facts.merge(fact, 'peer')
    }
  }
}

function runFleet (run: (fleet: Fleet) => void): void {
  const fleet = new Fleet()
  try {
    run(fleet)
  } finally {
    fleet.dispose()
  }
}

test('all nodes together have no more requests refused in a second than a full upstream tolerates', () => runFleet(fleet => {
  fleet.run(20_000, true)
  assert.ok(fleet.refusedAt.length > 0)
  assert.ok(fleet.countMostRefusedInASecond() <= MAX_PER_S, `${fleet.countMostRefusedInASecond()} in a second`)
}))

// Nodes that were cut off from each other divided the tolerated refusals by those that they still reached.
test('nodes that are cut off from each other try again no more often than the upstream tolerates', () => runFleet(fleet => {
  fleet.run(SECOND_MS, true)
  fleet.isCut = true
  fleet.refusedAt.length = 0
  fleet.run(60_000, true)
  assert.ok(fleet.refusedAt.length / 60 <= MAX_PER_S, `${fleet.refusedAt.length / 60} per second`)
}))

test('an upstream that has room again is used by all nodes within some seconds', () => runFleet(fleet => {
  fleet.run(3000, true)
  fleet.run(6000, false)
  fleet.servedCount = 0
  fleet.run(SECOND_MS, false)
  assert.is(fleet.servedCount, NODE_COUNT * SECOND_MS / REQUEST_PERIOD_MS)
}))

test('an old refusal pauses nobody', () => {
  const clock = new VirtualClock(10_000)
  const registry = new UpstreamRegistry()
  registry.update({ id: UPSTREAM, role: 'r', address: '127.0.0.1:9', hall: '', slots: 1, isLeaving: false }, 'test')
  const facts = new FactStore(clock)
  const backoffs = new BackoffService({ clock, log: new LogService({ program: 'test', silent: true }), registry })
  const refusals = new SharedRefusals({ clock, random: new SeededRandom(1), facts, backoffs, countNodes: () => NODE_COUNT })
  const createFact = (counter: number, ageMs: number) => ({ subject: 'refusal/u', incarnation: 1, counter, value: { kind: 'refusal' as const, upstream: UPSTREAM, maxPerS: 1 }, ageMs })
  facts.merge(createFact(1, 1500), 'peer')
  assert.is(backoffs.getWaitMs(UPSTREAM), 0)
  facts.merge(createFact(2, 100), 'peer')
  assert.ok(backoffs.getWaitMs(UPSTREAM) > 0)
  for (const item of [refusals, backoffs, facts, registry]) item.dispose()
})

test.run()
