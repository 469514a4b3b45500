import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { checkMessage } from '../../facts/common/wireMessage.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { LogService } from '../../log/node/logger.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import { QuarantineService } from '../node/quarantineService.ts'
import type { ProbeResult } from '../node/upstreamProbe.ts'

const test = suite('quarantineService')

const SUSPECT = { bodyBytes: 9, getDigest: () => 'g' }

/** Nodes that each hold what they were told, and tell each other when asked to. */
class Fleet extends Disposable {
  readonly clock = new VirtualClock(1000)
  readonly lines: string[] = []
  probed: ProbeResult = 'refused'
  readonly nodes = ['a', 'b'].map(node => {
    const facts = this._register(new FactStore(this.clock))
    const registry = this._register(new UpstreamRegistry())
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(({ line }) => this.lines.push(line))
    const service = this._register(new QuarantineService({ clock: this.clock, log, facts, registry, node, incarnation: 1, probe: () => Promise.resolve(this.probed) }))
    return { facts, registry, service }
  })

  getNode (index: number) {
    return this.nodes[index] ?? assert.unreachable('no such node') as never
  }

  /** A run of the request at one node goes down with its upstream. */
  async loseRun (node: number, upstream: string, isLeaving = false): Promise<boolean> {
    const { registry, service } = this.getNode(node)
    registry.update({ id: upstream, role: 'u', address: 'h:1', hall: '', slots: 1, isLeaving }, 'test')
    const sentAt = this.clock.now()
    this.clock.advance(50)
    const isEnded = await service.noteLost({ digest: 'g', bodyBytes: 9, upstream, address: 'h:1', sentAt, endedAt: this.clock.now() })
    this.clock.advance(50)
    return isEnded
  }

  /** What is done once all facts of a frame are taken in. */
  settle (): Promise<void> {
    return new Promise(resolve => { setImmediate(resolve) })
  }

  /** All facts of one node go to the other over the wire, doubled and the newest first. */
  share (from: number): void {
    const facts = [...this.getNode(from).facts.listSince(0, '')].reverse()
    const message = checkMessage({ kind: 'facts', facts: [...facts, ...facts] }).unsafeCoerce() as WireMessage & { readonly kind: 'facts' }
    for (const fact of message.facts) this.getNode(1 - from).facts.merge(fact, 'peer')
  }
}

async function runFleet (run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const fleet = new Fleet()
  try {
    await run(fleet)
  } finally {
    fleet.dispose()
  }
}

test('what nodes saw of different upstreams adds up at all of them', () => runFleet(async fleet => {
  await fleet.loseRun(0, 'u1')
  await fleet.loseRun(1, 'u2')
  await fleet.loseRun(0, 'u3')
  assert.not(fleet.getNode(0).service.judge(SUSPECT).isQuarantined)
  fleet.share(0)
  fleet.share(1)
  for (const { service } of fleet.nodes) {
    const standing = service.judge(SUSPECT)
    assert.ok(standing.isQuarantined)
    assert.equal([...standing.upstreams].sort(), ['u1', 'u2', 'u3'])
    assert.ok(service.hasEnded('u2'))
  }
  await fleet.settle()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began digest=g ends=3')).length, 2)
}))

test('a request that facts which come together hold guilty and clear again is not announced', () => runFleet(async fleet => {
  for (const upstream of ['u1', 'u2', 'u3']) await fleet.loseRun(0, upstream)
  const { facts, service } = fleet.getNode(0)
  const ends = facts.listSince(0, '')
  service.noteServed(SUSPECT)
  for (const fact of [...ends, ...facts.listSince(facts.sequence - 1, '')]) fleet.getNode(1).facts.merge(fact, 'peer')
  await fleet.settle()
  assert.not(fleet.getNode(1).service.judge(SUSPECT).isQuarantined)
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 1)
}))

test('an answer takes back, at all nodes, what was held against a request, and so does an operator', () => runFleet(async fleet => {
  for (const upstream of ['u1', 'u2', 'u3']) await fleet.loseRun(0, upstream)
  fleet.share(0)
  fleet.getNode(1).service.noteServed(SUSPECT)
  fleet.share(1)
  // Old evidence that comes again changes nothing.
  fleet.share(0)
  for (const { service } of fleet.nodes) assert.is(service.judge(SUSPECT).ends, 0)
  for (const upstream of ['u4', 'u5', 'u6']) await fleet.loseRun(0, upstream)
  assert.not(fleet.getNode(0).service.judge(SUSPECT).isQuarantined)
  fleet.clock.advance(2000)
  for (const upstream of ['u7', 'u8', 'u9']) await fleet.loseRun(0, upstream)
  assert.ok(fleet.getNode(0).service.judge(SUSPECT).isQuarantined)
  await fleet.settle()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 2, 'at one node, and there again')
  assert.ok(fleet.getNode(0).service.clear('g', 'operator'))
  assert.not(fleet.getNode(0).service.clear('other', 'operator'))
  fleet.share(0)
  for (const { service } of fleet.nodes) assert.is(service.judge(SUSPECT).ends, 0)
}))

test('an answer is remembered at all nodes, where an operator\'s word is not', () => runFleet(async fleet => {
  const clearings = [
    { clear: () => fleet.getNode(0).service.noteServed(SUSPECT), isQuarantined: false },
    { clear: () => fleet.getNode(0).service.clear('g', 'operator'), isQuarantined: true }
  ]
  let count = 0
  const loseRuns = async () => { for (let run = 0; run < 3; run++) await fleet.loseRun(0, `u${count++}`) }
  for (const { clear, isQuarantined } of clearings.reverse()) {
    // Ends are told at a bounded rate.
    fleet.clock.advance(2000)
    await loseRuns()
    clear()
    await loseRuns()
    fleet.share(0)
    for (const { service } of fleet.nodes) assert.is(service.judge(SUSPECT).isQuarantined, isQuarantined)
  }
}))

test('a lost connection to an upstream that is there, or that was leaving, says nothing against a request', () => runFleet(async fleet => {
  fleet.probed = 'accepted'
  for (const upstream of ['u1', 'u2', 'u3']) assert.not(await fleet.loseRun(0, upstream))
  fleet.probed = 'refused'
  for (const upstream of ['u4', 'u5', 'u6']) assert.not(await fleet.loseRun(0, upstream, true))
  assert.is(fleet.getNode(0).service.judge(SUSPECT).ends, 0)
  // The same upstream may end later.
  assert.ok(await fleet.loseRun(0, 'u1'))
  assert.is(fleet.getNode(0).service.judge(SUSPECT).ends, 1)
}))

test('where an upstream\'s host is silent, the list of upstreams tells', () => runFleet(async fleet => {
  fleet.probed = 'silent'
  for (const upstream of ['u1', 'u2', 'u3']) {
    assert.not(await fleet.loseRun(0, upstream))
    fleet.getNode(0).registry.drop(upstream, 'removed')
  }
  assert.ok(fleet.getNode(0).service.judge(SUSPECT).isQuarantined)
}))

test.run()
