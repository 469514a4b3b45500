import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { formatEndedSubject } from '../../facts/common/fact.ts'
import { checkMessage } from '../../facts/common/wireMessage.ts'
import type { WireMessage } from '../../facts/common/wireMessage.ts'
import { FactStore } from '../../facts/common/factStore.ts'
import { LogService } from '../../log/node/logger.ts'
import { UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { InstanceIdentity } from '../common/instanceProbe.ts'
import type { LostRun } from '../common/quarantine.ts'
import type { IRequestIdentity } from '../common/requestIdentity.ts'
import { QuarantineService } from '../node/quarantineService.ts'
import type { ProbeResult } from '../node/upstreamProbe.ts'

const test = suite('quarantineService')

const REQUEST: IRequestIdentity = { bodyBytes: 9, getDigest: () => 'g', getPartKeys: () => [] }

/** Two nodes with facts of their own, which exchange them only on `sendFacts`. */
class Fleet extends Disposable {
  readonly clock = new VirtualClock(1000)
  readonly lines: string[] = []
  probeResult: ProbeResult = 'refused'
  identity: InstanceIdentity = 'unknown'
  readonly nodes = ['a', 'b'].map(node => {
    const facts = this._register(new FactStore(this.clock))
    const registry = this._register(new UpstreamRegistry())
    const log = new LogService({ program: 'test', silent: true })
    log.onDidLog(({ line }) => this.lines.push(line))
    const service = this._register(new QuarantineService({ clock: this.clock, log, facts, registry, node, incarnation: 1, probe: () => Promise.resolve(this.probeResult), readIdentity: () => Promise.resolve(this.identity) }))
    return { facts, registry, service }
  })

  getNode (index: number) {
    return this.nodes[index] ?? assert.unreachable('no such node') as never
  }

  /** Crashes an upstream while one node has a run of the request in flight there. */
  async killUpstream (node: number, upstream: string, isLeaving = false): Promise<boolean> {
    const { registry, service } = this.getNode(node)
    registry.update({ id: upstream, role: 'u', address: `${upstream}:1`, hall: '', slots: 1, isLeaving }, 'test')
    const sentAt = this.clock.now()
    this.clock.advance(50)
    const isCrashed = await service.recordLostRun({ digest: 'g', bodyBytes: 9, partKeys: [], isStarting: false, upstream, address: `${upstream}:1`, sentAt, endedAt: this.clock.now() })
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

test('a node waits for the evidence of its peers when it starts', () => runFleet(async fleet => {
  const { facts, registry } = fleet.getNode(0)
  const log = new LogService({ program: 'test', silent: true })
  const onDidJoin = new Emitter<void>()
  const service = new QuarantineService({ clock: fleet.clock, log, facts, registry, node: 'c', incarnation: 1, onDidJoin: onDidJoin.event })
  const joined = service.waitForPeers()
  assert.ok(joined)
  onDidJoin.fire()
  await joined
  assert.is(service.waitForPeers(), undefined)
  service.dispose()
  assert.is(fleet.getNode(0).service.waitForPeers(), undefined)
}))

test('crashes of different upstreams observed by different nodes add up at all nodes', () => runFleet(async fleet => {
  await fleet.killUpstream(0, 'u1')
  await fleet.killUpstream(1, 'u2')
  await fleet.killUpstream(0, 'u3')
  assert.not(fleet.getNode(0).service.getCrashRecord(REQUEST).isQuarantined)
  fleet.sendFacts(0)
  fleet.sendFacts(1)
  for (const { service } of fleet.nodes) {
    const record = service.getCrashRecord(REQUEST)
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
  service.recordServed(REQUEST, { requestId: 'r', upstream: 'u', sentAt: fleet.clock.now() })
  for (const fact of [...ends, ...facts.listSince(facts.sequence - 1, '')]) fleet.getNode(1).facts.merge(fact, 'peer')
  await fleet.flush()
  assert.not(fleet.getNode(1).service.getCrashRecord(REQUEST).isQuarantined)
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 1)
}))

test('an answer clears the evidence against a request at all nodes, and so does an operator', () => runFleet(async fleet => {
  for (const upstream of ['u1', 'u2', 'u3']) await fleet.killUpstream(0, upstream)
  fleet.sendFacts(0)
  fleet.getNode(1).service.recordServed(REQUEST, { requestId: 'r', upstream: 'u', sentAt: fleet.clock.now() })
  fleet.sendFacts(1)
  // Old evidence that is received again has no effect.
  fleet.sendFacts(0)
  for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST).crashCount, 0)
  for (const upstream of ['u4', 'u5', 'u6']) await fleet.killUpstream(0, upstream)
  assert.not(fleet.getNode(0).service.getCrashRecord(REQUEST).isQuarantined)
  fleet.clock.advance(2000)
  for (const upstream of ['u7', 'u8', 'u9']) await fleet.killUpstream(0, upstream)
  assert.ok(fleet.getNode(0).service.getCrashRecord(REQUEST).isQuarantined)
  await fleet.flush()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began')).length, 2, 'once at one node, and again there')
  assert.ok(fleet.getNode(0).service.clear('g'))
  assert.not(fleet.getNode(0).service.clear('other'))
  fleet.sendFacts(0)
  for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST).crashCount, 0)
}))

test('after an answer all nodes require more crashes, after an operator\'s clearing they do not', () => runFleet(async fleet => {
  const clearings = [
    { clear: () => fleet.getNode(0).service.recordServed(REQUEST, { requestId: 'r', upstream: 'u', sentAt: fleet.clock.now() }), isQuarantined: false },
    { clear: () => fleet.getNode(0).service.clear('g'), isQuarantined: true }
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
    for (const { service } of fleet.nodes) assert.is(service.getCrashRecord(REQUEST).isQuarantined, isQuarantined)
  }
}))

test('a lost connection to an upstream that is still running, or that was leaving, does not count against a request', () => runFleet(async fleet => {
  fleet.probeResult = 'accepted'
  for (const upstream of ['u1', 'u2', 'u3']) assert.not(await fleet.killUpstream(0, upstream))
  // For their second probes.
  fleet.clock.advance(100)
  fleet.probeResult = 'refused'
  for (const upstream of ['u4', 'u5', 'u6']) assert.not(await fleet.killUpstream(0, upstream, true))
  assert.is(fleet.getNode(0).service.getCrashRecord(REQUEST).crashCount, 0)
  // The same upstream may crash later.
  assert.ok(await fleet.killUpstream(0, 'u1'))
  assert.is(fleet.getNode(0).service.getCrashRecord(REQUEST).crashCount, 1)
}))

test('a crash counts although the process still accepted a connection while it was being killed', () => runFleet(async fleet => {
  fleet.probeResult = 'accepted'
  assert.not(await fleet.killUpstream(0, 'u1'))
  fleet.probeResult = 'refused'
  fleet.clock.advance(100)
  await fleet.flush()
  assert.is(fleet.getNode(0).service.getCrashRecord(REQUEST).crashCount, 1)
}))

for (const listing of ['listed', 'leaving', 'none'] as const) {
  test(`an answer without framing is whole only if its upstream is found running: ${listing}`, () => runFleet(async fleet => {
    const { registry, service } = fleet.getNode(0)
    const entry = { id: 'u', role: 'u', address: 'h:1', hall: '', slots: 1, isLeaving: listing === 'leaving' }
    if (listing !== 'none') registry.update(entry, 'test')
    const confirm = async (probeResult: ProbeResult, identity: InstanceIdentity) => {
      fleet.probeResult = probeResult
      fleet.identity = identity
      return await service.confirmRunning(entry)
    }
    assert.ok(await confirm('accepted', 'unknown'))
    assert.not(await confirm('silent', 'unknown'))
    assert.not(await confirm('refused', 'unknown'))
    // The next instance already listens at the address.
    assert.not(await confirm('accepted', 'other'))
    for (const probeResult of ['accepted', 'silent', 'refused'] as const) assert.ok(await confirm(probeResult, 'same'))
    assert.is(fleet.lines.filter(line => line.includes('event=unframed_answer_ended') && line.includes(`listing=${listing}`)).length, 7)
  }))
}

test('an upstream that is being killed still accepts connections for a moment, and its answer without framing is not whole', () => runFleet(async fleet => {
  fleet.probeResult = 'accepted'
  setTimeout(() => { fleet.probeResult = 'refused' }, 20)
  assert.not(await fleet.getNode(0).service.confirmRunning({ id: 'u', role: 'u', address: 'h:1', hall: '', slots: 1, isLeaving: false }))
}))

test('an answer without framing is not whole if a peer knows that its upstream crashed', () => runFleet(async fleet => {
  await fleet.killUpstream(1, 'u1')
  const entry = { id: 'u1', role: 'u', address: 'u1:1', hall: '', slots: 1, isLeaving: false }
  fleet.getNode(0).registry.update(entry, 'test')
  fleet.probeResult = 'accepted'
  assert.ok(await fleet.getNode(0).service.confirmRunning(entry))
  fleet.sendFacts(1)
  assert.not(await fleet.getNode(0).service.confirmRunning(entry))
}))

test('if an upstream\'s host does not answer, its removal from the list of upstreams counts as a crash', () => runFleet(async fleet => {
  fleet.probeResult = 'silent'
  for (const upstream of ['u1', 'u2', 'u3']) {
    assert.not(await fleet.killUpstream(0, upstream))
    fleet.getNode(0).registry.remove(upstream, 'removed')
  }
  assert.ok(fleet.getNode(0).service.getCrashRecord(REQUEST).isQuarantined)
}))

test('a connection that was lost while the address accepts connections counts as a crash if another upstream takes over the address or the upstream leaves the list', () => runFleet(async fleet => {
  fleet.probeResult = 'accepted'
  const { registry, service } = fleet.getNode(0)
  for (const upstream of ['u1', 'u2', 'u3']) assert.not(await fleet.killUpstream(0, upstream))
  registry.update({ id: 'u4', role: 'u', address: 'u1:1', hall: '', slots: 1, isLeaving: false }, 'test')
  assert.is(service.getCrashRecord(REQUEST).crashCount, 1)
  registry.remove('u2', 'removed')
  registry.markLeaving('u3', 'test')
  registry.remove('u3', 'removed')
  assert.equal(service.getCrashRecord(REQUEST).upstreams, ['u1', 'u2'])
}))

test('a run that was lost at an upstream counts once a peer reports that the upstream crashed', () => runFleet(async fleet => {
  const { facts } = fleet.getNode(0)
  await killUnderPart(fleet, 1, 'u1')
  fleet.probeResult = 'accepted'
  assert.not(await fleet.killUpstream(0, 'u1'))
  assert.is(facts.get(formatEndedSubject('u1', 'a')), undefined)
  fleet.sendFacts(1)
  assert.is(facts.get(formatEndedSubject('u1', 'a'))?.counter, 1)
  // A loss that is noticed later still.
  assert.ok(await fleet.killUpstream(0, 'u1'))
  assert.is(facts.get(formatEndedSubject('u1', 'a'))?.counter, 2)
}))

test('a run that ended while its upstream was silent counts if the upstream turns out to have crashed', () => runFleet(async fleet => {
  const { registry, service } = fleet.getNode(0)
  const outcomes: readonly (readonly [ProbeResult, number])[] = [['accepted', 0], ['silent', 1], ['refused', 2]]
  for (const [result, count] of outcomes) {
    fleet.probeResult = result
    const upstream = `u-${result}`
    registry.update({ id: upstream, role: 'u', address: `${upstream}:1`, hall: '', slots: 1, isLeaving: false }, 'test')
    const sentAt = fleet.clock.now()
    fleet.clock.advance(50)
    service.recordSilentRun({ digest: 'g', bodyBytes: 9, partKeys: [], isStarting: true, upstream, address: `${upstream}:1`, sentAt, endedAt: fleet.clock.now() })
    fleet.clock.advance(50)
    registry.remove(upstream, 'removed')
    await fleet.flush()
    assert.is(service.getCrashRecord(REQUEST).crashCount, count, result)
  }
}))

/** Starts a run at an upstream that then falls silent; returns it as it counts if the upstream has crashed. */
function startSilentRun (fleet: Fleet, upstream: string, isSilent = true): LostRun {
  const { registry, service } = fleet.getNode(0)
  registry.update({ id: upstream, role: 'u', address: `${upstream}:1`, hall: '', slots: 1, isLeaving: false }, 'test')
  const sentAt = fleet.clock.now()
  fleet.clock.advance(600)
  const run = { digest: 'g', bodyBytes: 9, partKeys: [], isStarting: true, upstream, address: `${upstream}:1`, sentAt, endedAt: fleet.clock.now() }
  service.trackRun({ upstream, findSilentRun: () => isSilent ? run : undefined })
  fleet.clock.advance(50)
  return run
}

test('a run that has not ended counts once its silent upstream leaves the list and does not answer', () => runFleet(async fleet => {
  const { facts, registry, service } = fleet.getNode(0)
  const drop = async (upstream: string) => {
    registry.remove(upstream, 'removed')
    await fleet.flush()
    return service.getCrashRecord(REQUEST).crashCount
  }
  fleet.probeResult = 'accepted'
  startSilentRun(fleet, 'serving')
  assert.is(await drop('serving'), 0, 'it serves on')
  fleet.probeResult = 'silent'
  startSilentRun(fleet, 'producing', false)
  assert.is(await drop('producing'), 0, 'it has produced output just before')
  startSilentRun(fleet, 'leaving')
  registry.markLeaving('leaving', 'test')
  assert.is(await drop('leaving'), 0, 'it leaves as planned')
  const run = startSilentRun(fleet, 'crashed')
  assert.is(await drop('crashed'), 1)
  service.recordSilentRun(run)
  await fleet.flush()
  assert.is(facts.get(formatEndedSubject('crashed', 'a'))?.counter, 1, 'it counts once, although it is recorded again when it ends')
}))

test('a run that has not ended counts once a peer reports the crash of its silent upstream, unless that answers', () => runFleet(async fleet => {
  const { facts } = fleet.getNode(0)
  for (const [probeResult, counter] of [['accepted', undefined], ['refused', 1]] as const) {
    const upstream = `u-${probeResult}`
    startSilentRun(fleet, upstream)
    fleet.probeResult = 'refused'
    await killUnderPart(fleet, 1, upstream)
    fleet.probeResult = probeResult
    fleet.sendFacts(1)
    await fleet.flush()
    assert.is(facts.get(formatEndedSubject(upstream, 'a'))?.counter, counter, probeResult)
  }
}))

/** Crashes an upstream while one node has several runs there, the last of which had just begun its answer. */
async function killUnderPart (fleet: Fleet, node: number, upstream: string, runCount = 1): Promise<void> {
  const { registry, service } = fleet.getNode(node)
  registry.update({ id: upstream, role: 'u', address: 'h:1', hall: '', slots: 1, isLeaving: false }, 'test')
  const sentAt = fleet.clock.now()
  fleet.clock.advance(50)
  const lostRuns = Array.from({ length: runCount }, (_item, index) => service.recordLostRun({ digest: `${upstream}.${index}`, bodyBytes: 9, partKeys: index === 0 ? ['part/g'] : [], isStarting: index === 0, upstream, address: 'h:1', sentAt, endedAt: fleet.clock.now() }))
  await Promise.all(lostRuns)
  fleet.clock.advance(200)
}

const PART_REQUEST: IRequestIdentity = { bodyBytes: 1, getDigest: () => 'other', getPartKeys: () => ['part/g'] }

test('crashes under different requests with one part add up at all nodes, however many other runs were lost there', () => runFleet(async fleet => {
  await killUnderPart(fleet, 0, 'u1', 40)
  await killUnderPart(fleet, 1, 'u2')
  await killUnderPart(fleet, 0, 'u3')
  fleet.sendFacts(0)
  fleet.sendFacts(1)
  for (const { service } of fleet.nodes) assert.equal(service.getCrashRecord(PART_REQUEST).parts, ['g'])
  await fleet.flush()
  assert.is(fleet.lines.filter(line => line.includes('event=quarantine_began parts=g ends=3')).length, 2)
  assert.ok(fleet.getNode(1).service.clear('part/g'))
  fleet.sendFacts(1)
  for (const { service } of fleet.nodes) assert.not(service.getCrashRecord(PART_REQUEST).isQuarantined)
}))

test('an answer clears a part at all nodes up to when its request was sent, and counts against later crashes', () => runFleet(async fleet => {
  await killUnderPart(fleet, 0, 'u1')
  await killUnderPart(fleet, 0, 'u2')
  const sentAt = fleet.clock.now()
  await killUnderPart(fleet, 0, 'u3')
  assert.ok(fleet.getNode(0).service.getCrashRecord(PART_REQUEST).isQuarantined)
  fleet.sendFacts(0)
  fleet.getNode(1).service.recordServed(PART_REQUEST, { requestId: 'r', upstream: 'u', sentAt })
  fleet.sendFacts(1)
  for (const { service } of fleet.nodes) assert.not(service.getCrashRecord(PART_REQUEST).isQuarantined)
  for (const upstream of ['u4', 'u5']) await killUnderPart(fleet, 0, upstream)
  assert.not(fleet.getNode(0).service.getCrashRecord(PART_REQUEST).isQuarantined, 'three crashes since')
}))

test('nodes of the earlier version accept runs with parts, and their runs without parts are accepted', () => {
  const run = { digest: 'g', bodyBytes: 9, sentBeforeMs: 50 }
  const createMessage = (runs: readonly object[]) => ({ kind: 'facts', facts: [{ subject: 'ended/u/a', incarnation: 1, counter: 1, value: { kind: 'ended', upstream: 'u', runs }, ageMs: 0 }] })
  assert.ok(checkMessage(createMessage([run])).isRight())
  assert.ok(checkMessage(createMessage([{ ...run, parts: ['g'], isStarting: true, later: 1 }])).isRight(), 'unknown fields are ignored')
  assert.ok(checkMessage(createMessage([{ ...run, parts: Array.from({ length: 33 }, String) }])).isLeft())
})

test.run()
