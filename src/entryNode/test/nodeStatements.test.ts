import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { LogService } from '../../services/log/node/logger.ts'
import type { UpstreamStatement } from '../../services/upstream/common/upstreamStatement.ts'
import { NodeStatements } from '../nodeStatements.ts'

const test = suite('nodeStatements')

function runWith (statements: readonly UpstreamStatement[]) {
  const log = new LogService({ program: 'test', silent: true })
  const lines: string[] = []
  log.onDidLog(({ line }) => lines.push(line))
  const received: string[] = []
  const node = new NodeStatements({ log, rate: (upstream, { perS }) => received.push(`${upstream} rate ${perS}`), leaving: upstream => received.push(`${upstream} leaving`) })
  node.note({ upstream: 'u', statements })
  return { lines, received, invalidCount: node.invalidCount }
}

test('each statement goes to the receiver of its kind', () => {
  assert.equal(runWith([{ kind: 'rate', perS: 2 }, { kind: 'leaving' }, { kind: 'rate', perS: undefined }]).received, ['u rate 2', 'u leaving', 'u rate undefined'])
})

test('a statement that means nothing reaches nobody, is counted, and logged with its name', () => {
  const { lines, received, invalidCount } = runWith([{ kind: 'invalid', name: 'limit', value: '1e3' }])
  assert.equal(received, [])
  assert.is(invalidCount, 1)
  assert.ok(lines.some(line => line.includes('event=statement_invalid upstream=u name=limit value=1e3')))
})

test('a value of any length makes a short line', () => {
  const { lines } = runWith([{ kind: 'invalid', name: 'limit', value: '9'.repeat(4096) }])
  assert.ok(lines.every(line => line.length < 300 && line.includes('length=4096')))
})

test.run()
