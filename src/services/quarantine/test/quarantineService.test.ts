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

const REQUEST_DIGEST = { bodyBytes: 9, getDigest: () => 'g' }

/** Two nodes with facts of their own, which exchange them only on `sendFacts`. */
class Fleet extends Disposable {
  readonly clock = new VirtualClock(1000)
  readonly lines: string[] = []
  probeResult: ProbeResult = 'refused'
  readonly nodes = ['a', 'b'].map(node => {
    const facts = this._register(new FactStore(this.clock))
    const registry = this._register(new UpstreamRegistry())
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(({ line }) => this.lines.push(line))
    const service = this._register(new QuarantineService({ clock: this.clock, log, facts, registry, node, incarnation: 1, probe: () => Promise.resolve(this.probeResult) }))
    return { facts, registry, service }
  })

  getNode (index: number) {
    return this.nodes[index] ?? assert.unreachable('no such node') as never
  }

  /** Crashes an upstream while one node has a run of the request in flight there. */
  async killUpstream (node: number, upstream: string, isLeaving = false): Promise<boolean> {
    const { registry, service } = this.getNode(node)
    registry.update({ id: upstream, role: 'u', address: 'h:1', hall: '', slots: 1, isLeaving }, 'test')
    const sentAt = this.clock.now()
    this.clock.advance(50)
    const isCrashed = await service.recordLostRun({ digest: 'g', bodyBytes: 9, upstream, address: 'h:1', sentAt, endedAt: this.clock.now() })
    this.clock.advance(50)
    return isCrashed
  }

  /** Waits for the work that is scheduled after a batch of facts. */
  flush (): Promise<void> {
    return new Promise(resolve => { setImmediate(resolve) })
  }

  /** Sends all facts of one node to the other in wire format, each twice and the newest first. */
  sendFacts (from: number): void {
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

test('crashes of different upstreams observed by different nodes add up at all nodes', () => runFleet(async fleet => {
  await fleet.killUpstream(0, 'u1')
  await fleet.killUpstream(1, 'u2')
  await fleet.killUpstream(0, 'u3')
  assert.not(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).isQuarantined)
  fleet.sendFacts(0)
  fleet.sendFacts(1)
  for (const { service } of fleet.nodes) {
    const record = service.getCrashRecord(REQUEST_DIGEST)
    assert.ok(record.isQuarantined)
    assert.equal([...record.upstreams].sort(), ['u1', 'u2', 'u3'])
    assert.ok(service.hasCrashed('u2'))
  }
  await fleet.flush()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began digest=g ends=3')).length, 2)
}))

test('a request that is quarantined and cleared by facts of one batch is not logged', () => runFleet(async fleet => {
  for (const upstream of ['u1', 'u2', 'u3']) await fleet.killUpstream(0, upstream)
  const { facts, service } = fleet.getNode(0)
  const ends = facts.listSince(0, '')
  service.recordServed(REQUEST_DIGEST)
  for (const fact of [...ends, ...facts.listSince(facts.sequence - 1, '')]) fleet.getNode(1).facts.merge(fact, 'peer')
  await fleet.flush()
  assert.not(fleet.getNode(1).service.getCrashRecord(REQUEST_DIGEST).isQuarantined)
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 1)
}))

test('an answer clears the evidence against a request at all nodes, and so does an operator', () => runFleet(async fleet => {
  for (const upstream of ['u1', 'u2', 'u3']) await fleet.killUpstream(0, upstream)
  fleet.sendFacts(0)
  fleet.getNode(1).service.recordServed(REQUEST_DIGEST)
  fleet.sendFacts(1)
  // Old evidence that is received again has no effect.
  fleet.sendFacts(0)
  for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST_DIGEST).crashCount, 0)
  for (const upstream of ['u4', 'u5', 'u6']) await fleet.killUpstream(0, upstream)
  assert.not(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).isQuarantined)
  fleet.clock.advance(2000)
  for (const upstream of ['u7', 'u8', 'u9']) await fleet.killUpstream(0, upstream)
  assert.ok(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).isQuarantined)
  await fleet.flush()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 2, 'once at one node, and again there')
  assert.ok(fleet.getNode(0).service.clear('g', 'operator'))
  assert.not(fleet.getNode(0).service.clear('other', 'operator'))
  fleet.sendFacts(0)
  for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST_DIGEST).crashCount, 0)
}))

test('after an answer all nodes require more crashes, after an operator\'s clearing they do not', () => runFleet(async fleet => {
  const clearings = [
    { clear: () => fleet.getNode(0).service.recordServed(REQUEST_DIGEST), isQuarantined: false },
    { clear: () => fleet.getNode(0).service.clear('g', 'operator'), isQuarantined: true }
  ]
  let count = 0
  const loseRuns = async () => { for (let run = 0; run < 3; run++) await fleet.killUpstream(0, `u${count++}`) }
  for (const { clear, isQuarantined } of clearings.reverse()) {
    // Crashes are reported at a limited rate.
    fleet.clock.advance(2000)
    await loseRuns()
    clear()
    await loseRuns()
    fleet.sendFacts(0)
    for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST_DIGEST).isQuarantined, isQuarantined)
  }
}))

test('a lost connection to an upstream that is still running, or that was leaving, does not count against a request', () => runFleet(async fleet => {
  fleet.probeResult = 'accepted'
  for (const upstream of ['u1', 'u2', 'u3']) assert.not(await fleet.killUpstream(0, upstream))
  fleet.probeResult = 'refused'
  for (const upstream of ['u4', 'u5', 'u6']) assert.not(await fleet.killUpstream(0, upstream, true))
  assert.is(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).crashCount, 0)
  // The same upstream may crash later.
  assert.ok(await fleet.killUpstream(0, 'u1'))
  assert.is(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).crashCount, 1)
}))

test('if an upstream\'s host does not answer, its removal from the list of upstreams counts as a crash', () => runFleet(async fleet => {
  fleet.probeResult = 'silent'
  for (const upstream of ['u1', 'u2', 'u3']) {
    assert.not(await fleet.killUpstream(0, upstream))
    fleet.getNode(0).registry.remove(upstream, 'removed')
  }
  assert.ok(fleet.getNode(0).service.getCrashRecord(REQUEST_DIGEST).isQuarantined)
}))

test.run()
