import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import type { Fact } from '../../facts/common/fact.ts'
import { LogService } from '../../log/node/logger.ts'
import { RateLimitService } from '../node/rateLimitService.ts'

const test = suite('rateLimitService')

const SEED = 20261203

function createNode (clock: VirtualClock, node: string) {
  const facts = new FactStore(clock)
  const log = new LogService({ program: 'test', silent: true })
  const lines: string[] = []
  log.onDidLog(({ line }) => lines.push(line))
  return { facts, lines, limits: new RateLimitService({ clock, log, facts, node, incarnation: 1 }) }
}

function listFacts (facts: FactStore): readonly Fact[] {
  return facts.createFacts(facts.list())
}

test('nodes agree on the latest statement, in whatever order and however often they receive the facts', () => {
  const statements = fc.array(fc.record({ node: fc.integer({ min: 0, max: 2 }), perS: fc.constantFrom(undefined, 0, 0.25, 1, 20) }), { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(statements, fc.infiniteStream(fc.nat()), (stated, ranks) => {
    const clock = new VirtualClock()
    const nodes = ['a', 'b', 'c'].map(node => createNode(clock, node))
    for (const { node, perS } of stated) {
      nodes[node]?.limits.recordLimit('u', perS)
      clock.advance(1000)
    }
    const all = nodes.flatMap(({ facts }) => listFacts(facts))
    for (const { facts } of nodes) {
      const order = [...all, ...all].map(fact => ({ fact, rank: ranks.next().value ?? 0 })).sort((a, b) => a.rank - b.rank)
      for (const { fact } of order) facts.merge(fact, 'peer')
    }
    const known = nodes.map(({ limits }) => limits.findLimit('u'))
    assert.ok(known.every(perS => perS === known[0]), known.join(' '))
  }), { seed: SEED, numRuns: 100 })
})

test('a change is announced once, and a limit that stays in force is announced again for nodes that join later', () => {
  const clock = new VirtualClock()
  const { facts, limits } = createNode(clock, 'a')
  for (let count = 0; count < 100; count++) {
    limits.recordLimit('u', 2)
    clock.advance(100)
  }
  assert.is(facts.sequence, 1)
  clock.advance(60_000)
  limits.recordLimit('u', 2)
  assert.is(facts.sequence, 2)
})

test('each change of a known limit is logged with its source and age', () => {
  const clock = new VirtualClock()
  const [first, second] = ['a', 'b'].map(node => createNode(clock, node))
  assert.ok(first && second)
  first.limits.recordLimit('u', 0.25)
  clock.advance(40)
  for (const fact of listFacts(first.facts)) second.facts.merge(fact, 'n:1')
  assert.ok(second.lines.some(line => line.includes('event=rate_limit_changed upstream=u per_s=0.25 before=none source=n:1 age_ms=40')))
  assert.equal(second.limits.listLimits(), [{ upstream: 'u', perS: 0.25, ageMs: 40 }])
})

test.run()
