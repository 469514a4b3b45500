import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../base/common/clock.ts'
import { BackoffService } from '../../services/backoff/node/backoffService.ts'
import { FactStore } from '../../services/facts/common/factStore.ts'
import { LogService } from '../../services/log/node/logger.ts'
import { UpstreamRegistry } from '../../services/upstream/common/upstreamRegistry.ts'
import { createStatementsHandler } from '../statementsHandler.ts'

const test = suite('statementsHandler')

test('leaving upstreams and those that asked for a backoff are listed with the age of their statements', () => {
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  const facts = new FactStore(clock)
  const backoffs = new BackoffService({ clock, log: new LogService({ program: 'test', silent: true }), registry })
  for (const id of ['a', 'b', 'c']) registry.update({ id, role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 1, isLeaving: false }, 'test')
  facts.merge({ subject: 'leaving/a', incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'a', signal: 'answer' }, ageMs: 20 }, 'n:1')
  registry.markLeaving('a', 'peer')
  backoffs.recordBackoff('b', 3000)
  clock.advance(100)
  const handler = createStatementsHandler({ clock, registry, facts, backoffs })
  assert.equal(handler.answer('GET', ''), {
    leaving: [{ upstream: 'a', source: 'n:1', age_ms: 120 }],
    backoffs: [{ upstream: 'b', left_ms: 2900, age_ms: 100, on_trial: false }]
  })
  assert.is(handler.answer('DELETE', ''), undefined)
})

test.run()
