// Guards against answers that are cut in their head on the way through a peer's tunnel, by the upstream or by the end of the peer.
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DisposableStore } from '../../../base/common/disposable.ts'
import { SeededRandom } from '../../../base/common/random.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { FaultRelay } from '../../../base/test/faultRelay.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../log/node/logger.ts'
import { ConnectionPolicy } from '../../upstream/common/connectionPolicy.ts'
import type { ConnectionMode } from '../../upstream/common/connectionPolicy.ts'
import { TunnelPeers } from '../../upstream/common/tunnelPeers.ts'
import { TunnelServer } from '../../upstream/node/tunnelServer.ts'
import { UpstreamAgent } from '../../upstream/node/upstreamAgent.ts'
import { UpstreamConnector } from '../../upstream/node/upstreamConnector.ts'
import { FakeUpstream, RelayHarness, answerWith, isComplete } from './fakes.ts'
import type { ReceivedAnswer, UpstreamScript } from './fakes.ts'

const test = suite('cutTunnelHeads')

const EVENT = 'id: 1\ndata: x\n\n'
const HEAD = 'HTTP/1.1 200 OK\r\nId: '
const FRAMINGS: Readonly<Record<string, string>> = {
  length: `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`,
  none: '\r\n'
}
/** An answer that is whole when the upstream closes its connection, which the end of a peer must not be taken for. */
const UNFRAMED = `\r\n${EVENT}`
const UPSTREAM_ENDS = ['close', 'reset'] as const
const CUT_STEP = 3
/** Cuts by the peer end all of its tunnels, so they are made one by one. */
const PEER_CUT_STEP = 9
const LAST_CUTS = 4
const MAX_CONCURRENT = 8
/** Lets the bytes arrive before the peer ends. */
const PEER_END_DELAY_MS = 30

interface Cut {
  readonly id: string
  readonly text: string
  readonly end: typeof UPSTREAM_ENDS[number] | 'peer'
}

/** A node that is partitioned from all upstreams for good. */
class PeersOnlyPolicy extends ConnectionPolicy {
  readonly partitionedSince = undefined

  getMode (): ConnectionMode {
    return 'peers'
  }

  recordDirect (): void {}
  recordPeerResult (): void {}

  tryAcquireTrial (): boolean {
    return false
  }
}

/** Cuts an answer after every few bytes and after each of the last ones but the very last; without framing also after its end. */
function listCuts (end: Cut['end'], step: number, framings = FRAMINGS): readonly Cut[] {
  return Object.entries(framings).flatMap(([framing, rest]) => {
    const createId = (length: number) => `${framing}-${end}-${String(length).padStart(3, '0')}`
    const formatWhole = (length: number) => `${HEAD}${createId(length)}\r\n${rest}`
    const isFramed = framing === 'length' || framing === 'chunks'
    const count = formatWhole(0).length - (isFramed ? 1 : 0)
    const lengths = Array.from({ length: count }, (_item, index) => index + 1).filter(length => length % step === 0 || length > count - LAST_CUTS)
    return lengths.map(length => ({ id: createId(length), text: formatWhole(length).slice(0, length), end }))
  })
}

interface Parts {
  readonly call: (id: string) => Promise<ReceivedAnswer>
  readonly connector: UpstreamConnector
}

/** Runs a test with a relay that reaches its upstream through a peer only, over a link that the upstream's script can reset. */
async function runWith (kind: RouteKind, createScript: (peerLink: FaultRelay) => UpstreamScript, run: (parts: Parts) => Promise<void>): Promise<void> {
  const store = new DisposableStore()
  try {
    const [clock, log] = [new SystemClock(), new LogService({ program: 'test', silent: true })]
    const tunnels = store.add(new TunnelServer({ log, dial: address => connect(Number(address.split(':')[1]), '127.0.0.1').on('error', () => {}), findObstacle: () => undefined }))
    const tunnelPort = await tunnels.listen('127.0.0.1', 0)
    const peerLink = store.add(new FaultRelay())
    const peer = { address: `127.0.0.1:${await peerLink.listen(() => ({ host: '127.0.0.1', port: tunnelPort }))}`, hall: '' }
    const peers = new TunnelPeers({ random: new SeededRandom(1), listPeers: () => [peer] })
    const connector = store.add(new UpstreamConnector({ clock, log, peers, policy: new PeersOnlyPolicy(), listHalls: () => [] }))
    const harness = store.add(new RelayHarness({ upstreams: [new FakeUpstream(createScript(peerLink))], route: { kind, maxAttempts: 1, timeoutMs: 2000 }, agent: new UpstreamAgent(connector, () => clock.now()) }))
    await harness.start()
    await run({ call: id => harness.call(id), connector })
  } finally {
    store.dispose()
  }
}

function createCutScript (cuts: readonly Cut[], peerLink: FaultRelay): UpstreamScript {
  const cutsById = new Map(cuts.map(cut => [cut.id, cut]))
  return (socket, head) => {
    const id = /^Id: (.+)\r$/m.exec(head)?.[1] ?? ''
    const cut = cutsById.get(id)
    if (cut === undefined) return answerWith(`${HEAD}${id}\r\n${FRAMINGS.length}`)(socket, head)
    if (cut.end !== 'peer') return answerWith(cut.text, cut.end)(socket, head)
    socket.write(cut.text, () => { setTimeout(() => peerLink.resetConnections(), PEER_END_DELAY_MS) })
  }
}

function isWholeSuccess (answer: ReceivedAnswer): boolean {
  return answer.text.startsWith('HTTP/1.1 200') && isComplete(answer)
}

for (const kind of [RouteKind.REPEATABLE, RouteKind.STREAM]) {
  for (const { name, cuts, concurrency } of [
    { name: 'by the upstream', cuts: UPSTREAM_ENDS.flatMap(end => listCuts(end, CUT_STEP)), concurrency: MAX_CONCURRENT },
    { name: 'by the end of the peer', cuts: listCuts('peer', PEER_CUT_STEP, { ...FRAMINGS, unframed: UNFRAMED }), concurrency: 1 }
  ]) {
    test(`an answer through a tunnel that is cut ${name} is never whole: ${RouteKind[kind]}`, () => runWith(kind, peerLink => createCutScript(cuts, peerLink), async ({ call, connector }) => {
      const whole: string[] = []
      for (let index = 0; index < cuts.length; index += concurrency) {
        const answers = await Promise.all(cuts.slice(index, index + concurrency).map(async ({ id }) => ({ id, answer: await call(id) })))
        whole.push(...answers.filter(({ answer }) => isWholeSuccess(answer)).map(({ id }) => id))
        assert.ok(isWholeSuccess(await call(`sound-${index}`)), 'a sound answer is whole')
      }
      assert.equal(whole, [])
      assert.ok(connector.tunnelCount > cuts.length, 'each request went through the peer')
    }))
  }
}

test.run()
