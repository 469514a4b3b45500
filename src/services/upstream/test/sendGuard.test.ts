import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { LogService } from '../../log/node/logger.ts'
import { SendGuard } from '../node/sendGuard.ts'
import { UpstreamRegistry } from '../common/upstreamRegistry.ts'
import type { UpstreamEntry } from '../common/upstreamRegistry.ts'

const test = suite('sendGuard')

const ENTRY: UpstreamEntry = { id: 'u', role: 'r', address: '127.0.0.1:9', hall: 'x', slots: 8, isLeaving: false }

function createFixture () {
  const registry = new UpstreamRegistry()
  const log = new LogService({ program: 'test', silent: true })
  const lines: string[] = []
  log.onDidLog(({ line }) => lines.push(line))
  registry.update(ENTRY, 'test')
  return { registry, lines, guard: new SendGuard({ clock: new VirtualClock(), log, registry }) }
}

test('a send is allowed while the upstream accepts work', () => {
  const { guard, lines } = createFixture()
  assert.ok(guard.maySend('u', 'a1'))
  assert.is(guard.withheldSendCount, 0)
  assert.is(lines.length, 0)
})

const obstacles: readonly (readonly [string, (registry: UpstreamRegistry) => void])[] = [
  ['leaving', registry => registry.markLeaving('u', 'answer')],
  ['evacuated', registry => registry.setEvacuated('x', true)],
  ['gone', registry => registry.remove('u', 'test')]
]
for (const [obstacle, applyObstacle] of obstacles) {
  test(`a send is withheld, counted and logged if the upstream is ${obstacle} when it would be written`, () => {
    const { guard, registry, lines } = createFixture()
    applyObstacle(registry)
    assert.not(guard.maySend('u', 'a1'))
    assert.is(guard.withheldSendCount, 1)
    assert.ok(lines.some(line => line.includes(`event=send_withheld request=a1 upstream=u obstacle=${obstacle}`)))
  })
}

test('an instance that was marked as leaving before its entry arrived gets no work', () => {
  const registry = new UpstreamRegistry()
  registry.markLeaving('u', 'peer')
  const changes: string[] = []
  registry.onDidChange(({ kind }) => changes.push(kind))
  registry.update(ENTRY, 'list')
  assert.equal(registry.listAvailable('r'), [])
  assert.equal(changes, ['added', 'leaving'])
})

test('an instance that was leaving stays so when its entry is dropped and returns as ready', () => {
  const { registry } = createFixture()
  registry.markLeaving('u', 'answer')
  registry.remove('u', 'not listed')
  registry.update(ENTRY, 'list')
  assert.equal(registry.listAvailable('r'), [])
})

test.run()
