// Guards against evidence that waits for a deadline: a request whose upstream lost power counted as lost when its deadline passed,
// 2.3 s after its node knew from the list that the upstream was gone, and further upstreams crashed on the same part meanwhile.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { formatEndedSubject } from '../../facts/common/fact.ts'
import { isFactOfKind, FactStore } from '../../facts/common/factStore.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('silentCrashes')

const UPSTREAM = 'powerless'
const TIMEOUT_MS = 3000
/** Time after which the silence of an upstream counts, with a margin. */
const SILENCE_MS = 700
const MAX_REPORT_MS = 1000

test('a request at an upstream without power counts when the upstream leaves the list, not at the deadline', async () => {
  const [upstream, relay, facts] = [new FakeUpstream((socket, head) => {
    socket.write(`HTTP/1.1 200 OK\r\nId: ${/^Id: (.+)\r$/m.exec(head)?.[1] ?? ''}\r\nContent-Length: 1000\r\n\r\nid: 1\ndata: x\n\n`)
  }), new FaultRelay(), new FactStore(new SystemClock())]
  const harness = new RelayHarness({ upstreams: [], facts, route: { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: TIMEOUT_MS } })
  try {
    const [host = '', port = ''] = (await upstream.listen()).split(':')
    const address = `127.0.0.1:${await relay.listen(() => ({ host, port: Number(port) }))}`
    await harness.start()
    harness.registry.update({ id: UPSTREAM, role: 'u', address, hall: '', slots: 4, isLeaving: false }, 'test')
    const startedAt = performance.now()
    const answer = harness.submit('a', 'body', 'Parts: bad,last\r\n')
    assert.ok(await waitUntil(() => upstream.requestHeads.length === 1, MAX_REPORT_MS))
    await waitUntil(() => performance.now() - startedAt > SILENCE_MS, 2 * SILENCE_MS)
    relay.blockTraffic()
    relay.stopListening()
    const findReport = () => facts.get(formatEndedSubject(UPSTREAM, 'n'))
    assert.is(findReport(), undefined, 'a silent upstream that is listed has not crashed')
    harness.registry.remove(UPSTREAM, 'removed')
    assert.ok(await waitUntil(() => findReport() !== undefined, MAX_REPORT_MS), 'the crash is reported before the deadline')
    const report = findReport()
    assert.ok(report !== undefined && isFactOfKind(report, 'ended'))
    assert.equal(report.value.runs.map(({ parts, isStarting }) => ({ parts, isStarting })), [{ parts: ['bad'], isStarting: true }])
    await answer
    assert.is(findReport()?.counter, 1, 'the run counts once')
  } finally {
    harness.dispose()
    relay.dispose()
    upstream.dispose()
  }
})

test.run()
