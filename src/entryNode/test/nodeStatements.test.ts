import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../base/common/clock.ts'
import { SeededRandom } from '../../base/common/random.ts'
import { FactStore } from '../../services/facts/common/factStore.ts'
import { LogService } from '../../services/log/node/logger.ts'
import type { UpstreamStatement } from '../../services/upstream/common/upstreamStatement.ts'
import { UpstreamRegistry } from '../../services/upstream/common/upstreamRegistry.ts'
import { NodeStatements } from '../nodeStatements.ts'

const test = suite('nodeStatements')

function runWith (statements: readonly UpstreamStatement[]) {
  const log = new LogService({ program: 'test', silent: true })
  const lines: string[] = []
  log.onDidLog(({ line }) => lines.push(line))
  const rates: (number | undefined)[] = []
  const clock = new VirtualClock()
  const registry = new UpstreamRegistry()
  registry.update({ id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 1, isLeaving: false }, 'test')
  const node = new NodeStatements({ clock, log, random: new SeededRandom(1), facts: new FactStore(clock), registry, countNodes: () => 1, recordRateLimit: (_upstream, perS) => rates.push(perS) })
  const kinds: string[] = []
  node.onDidRecordStatement(kind => kinds.push(kind))
  node.recordStatements({ upstream: 'u', statements })
  return { lines, rates, node, registry, kinds }
}

test('a stated rate limit is passed on, and so is its removal', () => {
  assert.equal(runWith([{ kind: 'rate', perS: 2 }, { kind: 'rate', perS: undefined }]).rates, [2, undefined])
})

test('an upstream that states that it is leaving receives no more work', () => {
  const { registry, node } = runWith([{ kind: 'rate', perS: undefined }, { kind: 'leaving' }])
  assert.equal(registry.listAvailable('r'), [])
  assert.not(node.guard.maySend('u', 'a1'))
})

test('an upstream that asks for a backoff receives no requests', () => {
  const { registry, node } = runWith([{ kind: 'backoff', forMs: 300 }])
  assert.is(registry.listAvailable('r').length, 1)
  assert.is(node.backoffs.getWaitMs('u'), 300)
  assert.not(node.guard.maySend('u', 'a1'))
})

test('an invalid statement has no effect, is counted, and is logged with its name', () => {
  const { lines, rates, node } = runWith([{ kind: 'invalid', name: 'limit', value: '1e3' }])
  assert.equal(rates, [])
  assert.ok(node.guard.maySend('u', 'a1'))
  assert.is(node.invalidCount, 1)
  assert.ok(lines.some(line => line.includes('event=statement_invalid upstream=u name=limit value=1e3')))
})

test('statements are counted by kind, except for the statement that there is no limit', () => {
  assert.equal(runWith([{ kind: 'rate', perS: undefined }, { kind: 'leaving' }, { kind: 'backoff', forMs: 300 }, { kind: 'rate', perS: 1 }]).kinds, ['leaving', 'backoff', 'rate'])
})

test('an invalid value of any length is truncated in the log', () => {
  const { lines } = runWith([{ kind: 'invalid', name: 'limit', value: '9'.repeat(4096) }])
  assert.ok(lines.every(line => line.length < 300 && line.includes('length=4096')))
})

test('invalid loads are counted but logged once per upstream, and a load of a dropped upstream is not kept', () => {
  const invalid = { kind: 'invalidLoad', name: 'load', value: '3,1' } as const
  const { lines, node, registry, kinds } = runWith([invalid, invalid, { kind: 'load', load: { running: 3, waiting: 1, slots: 8, slowness: 2 } }])
  assert.equal([node.invalidLoadCount, node.invalidCount, lines.length], [2, 0, 1])
  assert.equal(kinds, ['invalidLoad', 'invalidLoad'])
  assert.is(node.loads.getSlowness('u', 0), 2)
  registry.removePermanently('u', 'test')
  assert.is(node.loads.find('u'), undefined)
})

test.run()
