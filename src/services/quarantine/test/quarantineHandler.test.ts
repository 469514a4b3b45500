import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { findFreePort } from '../../../base/test/polling.ts'
import { formatEndedSubject } from '../../facts/common/fact.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { LogService } from '../../log/node/logger.ts'
import { MetricsRegistry, MetricsServer } from '../../metrics/node/metricsServer.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { createQuarantineHandler } from '../node/quarantineHandler.ts'
import { QuarantineService } from '../node/quarantineService.ts'

const test = suite('quarantineHandler')

test('operators list and clear quarantined requests, and other methods and paths are not found', async () => {
  const clock = new VirtualClock(5000)
  const facts = new FactStore(clock)
  const quarantine = new QuarantineService({ clock, log: new LogService({ program: 'test', silent: true }), facts, registry: new UpstreamRegistry(), node: 'a', incarnation: 1 })
  const server = new MetricsServer(new MetricsRegistry(), [createQuarantineHandler(quarantine, clock)])
  const port = await findFreePort()
  const ask = async (method: string, path: string) => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method })
    return response.status === 200 ? await response.text() : response.status
  }
  try {
    await server.listen('127.0.0.1', port)
    assert.is(await ask('GET', '/quarantine'), '[]\n')
    for (const [index, upstream] of ['u1', 'u2', 'u3'].entries()) {
      const value = { kind: 'ended' as const, upstream, runs: [{ digest: 'g', bodyBytes: 9, sentBeforeMs: 50 }] }
      facts.merge({ subject: formatEndedSubject(upstream, 'b'), incarnation: 1, counter: 1, value, ageMs: 1000 - index * 100 })
    }
    assert.is(await ask('GET', '/quarantine'), '[{"digest":"g","ends":3,"upstreams":["u1","u2","u3"],"last_end_age_ms":800}]\n')
    assert.is(await ask('DELETE', '/quarantine/other'), 404)
    assert.is(await ask('PUT', '/quarantine/g'), 404)
    assert.is(await ask('GET', '/quarantines'), 404)
    assert.is(await ask('DELETE', '/quarantine/g'), '{"cleared":"g"}\n')
    assert.is(await ask('GET', '/quarantine'), '[]\n')
  } finally {
    server.dispose()
    quarantine.dispose()
  }
})

test.run()
