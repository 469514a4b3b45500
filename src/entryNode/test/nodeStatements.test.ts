import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../base/common/clock.ts'
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
  const node = new NodeStatements({ clock, log, registry, noteRate: (_upstream, perS) => rates.push(perS) })
  const kinds: string[] = []
  node.onDidNote(kind => kinds.push(kind))
  node.note({ upstream: 'u', statements })
  return { lines, rates, node, registry, kinds }
}

test('a rate goes to whoever keeps it, and so does its end', () => {
  assert.equal(runWith([{ kind: 'rate', perS: 2 }, { kind: 'rate', perS: undefined }]).rates, [2, undefined])
})

test('an upstream that says that it leaves takes no more work', () => {
  const { registry, node } = runWith([{ kind: 'rate', perS: undefined }, { kind: 'leaving' }])
  assert.equal(registry.listAvailable('r'), [])
  assert.not(node.guard.maySend('u', 'a1'))
})

test('an upstream that asks for a pause gets nothing', () => {
  const { registry, node } = runWith([{ kind: 'backoff', forMs: 300 }])
  assert.is(registry.listAvailable('r').length, 1)
  assert.is(node.backoffs.getWaitMs('u'), 300)
  assert.not(node.guard.maySend('u', 'a1'))
})

test('a statement that means nothing changes nothing, is counted, and logged with its name', () => {
  const { lines, rates, node } = runWith([{ kind: 'invalid', name: 'limit', value: '1e3' }])
  assert.equal(rates, [])
  assert.ok(node.guard.maySend('u', 'a1'))
  assert.is(node.invalidCount, 1)
  assert.ok(lines.some(line => line.includes('event=statement_invalid upstream=u name=limit value=1e3')))
})

test('statements are counted by kind, but for answers that say nothing', () => {
  assert.equal(runWith([{ kind: 'rate', perS: undefined }, { kind: 'leaving' }, { kind: 'backoff', forMs: 300 }, { kind: 'rate', perS: 1 }]).kinds, ['leaving', 'backoff', 'rate'])
})

test('a value of any length makes a short line', () => {
  const { lines } = runWith([{ kind: 'invalid', name: 'limit', value: '9'.repeat(4096) }])
  assert.ok(lines.every(line => line.length < 300 && line.includes('length=4096')))
})

test.run()
