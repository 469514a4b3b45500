import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { SendGuard } from '../node/sendGuard.ts'
import { UpstreamRegistry } from '../common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../common/upstreamRegistry.ts'

const test = suite('sendGuard')

const ENTRY: UpstreamEntry = { id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 8, isLeaving: false }

function createParts () {
  const registry = new UpstreamRegistry()
  const log = new LogService({ program: 'test', silent: true })
  const lines: string[] = []
  log.onDidLog(({ line }) => lines.push(line))
  registry.update(ENTRY, 'test')
  return { registry, lines, guard: new SendGuard({ clock: new VirtualClock(), log, registry }) }
}

test('a send goes on while the upstream takes work', () => {
  const { guard, lines } = createParts()
  assert.ok(guard.maySend('u', 'a1'))
  assert.is(guard.withheldCount, 0)
  assert.is(lines.length, 0)
})

const obstacles: readonly (readonly [string, (registry: UpstreamRegistry) => void])[] = [
  ['leaving', registry => registry.markLeaving('u', 'answer')],
  ['evacuated', registry => registry.setEvacuated('x', true)],
  ['gone', registry => registry.drop('u', 'test')]
]
for (const [obstacle, strike] of obstacles) {
  test(`a send is withheld, counted and logged where the upstream is ${obstacle} by the time it is written`, () => {
    const { guard, registry, lines } = createParts()
    strike(registry)
    assert.not(guard.maySend('u', 'a1'))
    assert.is(guard.withheldCount, 1)
    assert.ok(lines.some(line => line.includes(`event=send_withheld request=a1 upstream=u obstacle=${obstacle}`)))
  })
}

test('a boot that was said to leave before its entry came takes no work', () => {
  const registry = new UpstreamRegistry()
  registry.markLeaving('u', 'peer')
  const changes: string[] = []
  registry.onDidChange(({ kind }) => changes.push(kind))
  registry.update(ENTRY, 'list')
  assert.equal(registry.listRole('r'), [])
  assert.equal(changes, ['added', 'leaving'])
})

test('a boot that left stays so when its entry is away for a while and says that it is ready', () => {
  const { registry } = createParts()
  registry.markLeaving('u', 'answer')
  registry.drop('u', 'not listed')
  registry.update(ENTRY, 'list')
  assert.equal(registry.listRole('r'), [])
})

test.run()
