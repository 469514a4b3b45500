/**
 * Tests the whole request path over loopback sockets, with gates, stewards and stand-ins in this process.
 */
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '../../base/common/random.ts'
import { waitFor } from '../../base/node/interval.ts'
import { SystemClock } from '../../base/node/systemClock.ts'
import { demoProfile } from '../../cli/demoProfile.ts'
import { PepperwoodClient } from '../../client/pepperwoodClient.ts'
import { Execution } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { AnswerEvent, Refusal, Session } from '../../generated/pepperwood/v1/pepperwood_pb.ts'
import { LogService } from '../../services/log/node/logger.ts'
import { createOperatorClient, createRequestClient } from '../../services/rpc/node/rpcClients.ts'
import { computeExpectedAnswer } from '../../standin/modelAnswers.ts'
import { Steward } from '../../steward/steward.ts'
import { formatCustomerKey, planFleet } from '../fleetPlan.ts'
import { InProcessFleet } from '../inProcessFleet.ts'

const test = suite('fleet')
const plan = planFleet({ profile: demoProfile, network: 201 + process.pid % 50, seed: 1, usesRelays: false })
const fleet = new InProcessFleet(plan)
const addresses = plan.hosts.map(host => host.gate.address)
const [first = '', second = '', third = ''] = addresses
/** Longer than the time after which a gate regards a silent steward as lost. */
const OBSERVATION_MS = 3500
const CUSTOMER = 'small'
const KEY = formatCustomerKey(CUSTOMER)

test.before(() => fleet.start())
test.after(() => fleet.dispose())

function createCaller (entries: readonly string[] = addresses, key = KEY): PepperwoodClient {
  return new PepperwoodClient({ entries, customer: CUSTOMER, key })
}

async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await waitFor(20)
}

async function openSession (address: string): Promise<Session> {
  const answer = await createRequestClient(address).openSession({ customer: CUSTOMER, key: KEY })
  if (answer.outcome.case !== 'session') throw new Error('no session')
  return answer.outcome.value
}

async function readAll (stream: AsyncIterable<AnswerEvent>): Promise<readonly AnswerEvent[]> {
  const events: AnswerEvent[] = []
  for await (const event of stream) events.push(event)
  return events
}

function joinText (events: readonly AnswerEvent[]): string {
  return events.map(({ event }) => event.case === 'chunk' ? event.value.text : '').join('')
}

function findRefusal (events: readonly AnswerEvent[]): Refusal | undefined {
  const last = events.at(-1)?.event
  return last?.case === 'refusal' ? last.value : undefined
}

function createRequest (session: Session, number: number, input: string, pipeline = 'script') {
  return { session: session.id, home: session.home, incarnation: session.incarnation, number, pipeline, input }
}

async function countRuns (marker: string, role: string): Promise<number> {
  return (await fleet.control.readRuns()).filter(run => run.marker === marker && run.role === role).length
}

/** Counts the running requests whose home is the gate. */
async function countRunning (address: string): Promise<number> {
  const { sessions } = JSON.parse((await createOperatorClient(address).dump({})).json) as { readonly sessions: readonly { readonly running: number }[] }
  return sessions.reduce((sum, session) => sum + session.running, 0)
}

interface GateState {
  readonly steward: string
  readonly stewardLinks: number
  readonly ageMs: number
}

async function readState (address: string): Promise<GateState> {
  return JSON.parse((await createOperatorClient(address).dump({})).json) as GateState
}

async function readVersions (): Promise<readonly number[]> {
  return await Promise.all(addresses.map(async address => (await createOperatorClient(address).getConfiguration({})).configuration?.version ?? 0))
}

test('a request passes through all stages and receives its own answer', async () => {
  const caller = createCaller()
  const input = 'one id=a1 tokens=12'
  const answer = (await caller.submit({ pipeline: 'script', input, deadlineMs: 4000 })).unsafeCoerce()
  const pipeline = plan.configuration.pipelines.find(item => item.name === 'script')
  assert.is(answer.text, pipeline && computeExpectedAnswer(plan.configuration, pipeline, input))
  assert.equal(answer.costs.map(cost => cost.stage), ['encode', 'retrieve', 'rerank', 'generate'])
  assert.ok(answer.costs.every(cost => cost.busyMs > 0))
  caller.dispose()
})

for (const [name, key, pipeline, expected] of [
  ['a wrong key', 'wrong', 'script', 'keyWrong'],
  ['an unknown pipeline', KEY, 'nonsense', 'pipelineUnknown']
] as const) {
  test(`${name}: the request is refused by code, and no stage runs`, async () => {
    const caller = createCaller(addresses, key)
    const error = (await caller.submit({ pipeline, input: 'id=a2', deadlineMs: 2000 })).swap().unsafeCoerce()
    assert.equal([error.resultName, error.execution], [expected, 'notRun'])
    assert.is(await countRuns('a2', 'encode'), 0)
    caller.dispose()
  })
}

test('a request number that is submitted twice runs once, and both submissions get the whole answer', async () => {
  const session = await openSession(first)
  const client = createRequestClient(first)
  const request = { ...createRequest(session, 1, 'id=a3', 'booking'), unrepeatable: true }
  const [a, b] = await Promise.all([readAll(client.submit(request)), readAll(client.submit(request))])
  const c = await readAll(client.submit(request))
  assert.is(joinText(a), joinText(b))
  assert.is(joinText(a), joinText(c))
  assert.is(await countRuns('a3', 'booking'), 1)
  const reused = findRefusal(await readAll(client.submit({ ...request, input: 'id=other' })))
  assert.is(reused?.name, 'numberReused')
})

test('an answer can be fetched again from a given chunk', async () => {
  const session = await openSession(first)
  const client = createRequestClient(first)
  const whole = await readAll(client.submit(createRequest(session, 1, 'id=a4 tokens=10')))
  const rest = await readAll(client.attach({ session: session.id, home: first, incarnation: session.incarnation, number: 1, fromChunk: 6 }))
  assert.is(rest.filter(({ event }) => event.case === 'chunk').length, 4)
  assert.ok(joinText(whole).endsWith(joinText(rest)))
})

test('a gate that is not the session\'s home does not run its request', async () => {
  const session = await openSession(first)
  const refusal = findRefusal(await readAll(createRequestClient(second).submit(createRequest(session, 1, 'id=a5'))))
  assert.is(refusal?.name, 'sessionElsewhere')
  assert.equal(refusal?.gates.map(gate => gate.address), [first])
  assert.is(await countRuns('a5', 'encode'), 0)
})

test('a cancelled request ends at once, and is reported as incomplete', async () => {
  const session = await openSession(first)
  const client = createRequestClient(first)
  const stream = readAll(client.submit(createRequest(session, 1, 'id=a6 tokens=400')))
  await waitUntil(async () => await countRuns('a6', 'generate') === 1)
  const cancelled = await client.cancel({ session: session.id, home: first, incarnation: session.incarnation, number: 1 })
  assert.is(cancelled.outcome.case === 'cancelled' && cancelled.outcome.value.wasRunning, true)
  const refusal = findRefusal(await stream)
  assert.equal([refusal?.name, refusal?.execution], ['cancelled', Execution.INCOMPLETE])
})

test('a checkpoint resumes at another gate after the last finished stage', async () => {
  const session = await openSession(first)
  const events = await readAll(createRequestClient(first).submit(createRequest(session, 1, 'id=a7')))
  const checkpoint = events.flatMap(({ event }) => event.case === 'checkpoint' ? [event.value] : []).at(-1)
  const other = await openSession(second)
  const request = { ...createRequest(other, 1, 'id=a7'), checkpoint: checkpoint?.sealed }
  const continued = await readAll(createRequestClient(second).submit(request))
  assert.is(joinText(continued), joinText(events))
  assert.is(checkpoint?.stagesDone, 3)
  assert.is(await countRuns('a7', 'encode'), 1)
  assert.is(await countRuns('a7', 'generate'), 2)
  const foreign = findRefusal(await readAll(createRequestClient(second).submit({ ...request, number: 2, input: 'id=other' })))
  assert.equal([foreign?.name, foreign?.execution], ['checkpointInvalid', Execution.NOT_RUN])
})

test('a new configuration takes effect at every gate, and an invalid or older one is ignored', async () => {
  const document = JSON.parse(plan.configurationText) as object
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 3 })
  await waitUntil(async () => (await readVersions()).every(version => version === 3))
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 2 })
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 9, pipelines: [{ name: 'Bad Name' }] })
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 4 })
  const seen = new Set<number>()
  await waitUntil(async () => {
    const versions = await readVersions()
    for (const version of versions) seen.add(version)
    return versions.every(version => version === 4)
  })
  assert.ok([...seen].every(version => version === 3 || version === 4))
})

test('a caller that has seen a newer configuration is not served under an older one', async () => {
  const answer = await createRequestClient(third).openSession({ customer: CUSTOMER, key: KEY, seenConfiguration: { epoch: 1, version: 99 } })
  assert.is(answer.outcome.case === 'refusal' && answer.outcome.value.name, 'configurationBehind')
})

test('a leaving upstream gets no new work once all gates have been notified', async () => {
  const name = 'generate-0'
  await fleet.control.setFaults(name, { leaving_quietly: true })
  const isNotified = async (address: string) => (await createOperatorClient(address).dump({})).json.includes(`leaving/${name}`)
  await waitUntil(async () => (await Promise.all(addresses.map(isNotified))).every(Boolean))
  await fleet.control.setFaults(name, {})
  const caller = createCaller()
  const answers = await Promise.all(Array.from({ length: 12 }, (_, index) => caller.submit({ pipeline: 'script', input: `id=b${index} tokens=4`, deadlineMs: 4000 })))
  assert.ok(answers.every(answer => answer.isRight()))
  const runs = (await fleet.control.readRuns()).filter(run => run.marker.startsWith('b') && run.upstream === name)
  assert.is(runs.length, 0)
  caller.dispose()
})

for (const [name, faults, isRunOnce] of [
  ['torn answers of an unrepeatable stage', { drop: 1, drop_after_bytes: 10 }, true],
  ['answers for another attempt', { wrong_id: 1 }, true],
  ['refusals without running', { refuse: 1 }, false]
] as const) {
  test(`${name}: the request is refused, and runs at most once`, async () => {
    const marker = `f${name.length}`
    await fleet.control.setFaults('booking-*', faults)
    const caller = createCaller()
    const error = (await caller.submit({ pipeline: 'booking', input: `id=${marker}`, deadlineMs: 2000, unrepeatable: true })).swap().unsafeCoerce()
    await fleet.control.setFaults('booking-*', {})
    assert.is(await countRuns(marker, 'booking'), isRunOnce ? 1 : 0)
    assert.is(error.execution, isRunOnce ? 'mayHaveRun' : 'incomplete')
    caller.dispose()
  })
}

test('a stream that breaks after some bytes is resumed, and the answer is complete', async () => {
  await fleet.control.setFaults('generate-*', { drop: 1, drop_after_bytes: 400 })
  const caller = createCaller()
  const input = 'id=g1 tokens=30'
  const answer = (await caller.submit({ pipeline: 'script', input, deadlineMs: 4000, unrepeatable: true })).unsafeCoerce()
  await fleet.control.setFaults('generate-*', {})
  const pipeline = plan.configuration.pipelines.find(item => item.name === 'script')
  assert.is(answer.text, pipeline && computeExpectedAnswer(plan.configuration, pipeline, input))
  assert.is(await countRuns('g1', 'generate'), 1)
  caller.dispose()
})

test('malformed input is rejected and does not affect later requests', async () => {
  const steward = plan.hosts[0]?.steward.address.split(':') ?? []
  for (const [host, port] of [steward, first.split(':')]) {
    await new Promise<void>(resolve => {
      const socket = connect(Number(port), host, () => { socket.end(Buffer.from([255, 255, 255, 255, 1, 2, 3])) })
      socket.resume()
      socket.on('close', () => resolve())
      socket.on('error', () => resolve())
    })
  }
  const body = await fetch(`http://${first}/pepperwood.v1.RequestService/Locate`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{"customer":7}' })
  assert.is(body.status, 400)
  const large = await fetch(`http://${first}/pepperwood.v1.RequestService/Locate`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ customer: 'x'.repeat(3_000_000) }) })
  assert.ok(large.status >= 400)
  const located = await createRequestClient(first).locate({ customer: CUSTOMER })
  assert.is(located.gates.length, 3)
})

test('explain lists the decisions about a request', async () => {
  const session = await openSession(first)
  await readAll(createRequestClient(first).submit(createRequest(session, 1, 'id=c1')))
  const { decisions } = await createOperatorClient(first).explain({ requestId: `${session.id}/1` })
  assert.equal(decisions.map(item => item.kind), ['admit', 'route', 'route', 'route', 'route', 'end'])
  assert.is((await createOperatorClient(first).explain({ requestId: 'none/1' })).problem?.name, 'requestUnknown')
})

test('a steward that starts while the platform serves an older configuration adopts the newer one from its peers', async () => {
  const document = JSON.parse(plan.configurationText) as object
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 6 })
  await waitUntil(async () => (await readVersions()).every(version => version === 6))
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 5 })
  const settings = plan.hosts[0]?.steward
  if (settings === undefined) throw new Error('no host')
  const ip = settings.address.split(':')[0] ?? ''
  const started = new Steward({
    settings: { ...settings, address: `${ip}:7100`, listen: undefined, operator_address: `${ip}:7101`, metrics_address: undefined },
    clock: new SystemClock(),
    random: new SeededRandom(1),
    log: new LogService({ program: 'test', silent: true }),
    incarnation: 1
  })
  await started.start()
  assert.equal((started.dump() as { readonly configuration: object }).configuration, { epoch: 1, version: 6 })
  await started.stop()
})

test('a gate keeps its link to the steward while there are no updates', async () => {
  const startedAtMs = (await readState(first)).ageMs
  await waitUntil(async () => (await readState(first)).ageMs > startedAtMs + OBSERVATION_MS)
  for (const address of addresses) assert.is((await readState(address)).stewardLinks, 1)
})

test('a gate whose steward fails links to another one and still receives new configurations', async () => {
  const { steward } = await readState(first)
  fleet.stewards[plan.hosts.findIndex(host => host.steward.address === steward)]?.dispose()
  await waitUntil(async () => (await readState(first)).stewardLinks === 2)
  await fleet.control.publish('pepperwood/configuration', { ...JSON.parse(plan.configurationText) as object, version: 7 })
  await waitUntil(async () => (await readVersions()).every(version => version === 7))
})

test('a session that was opened while a pipeline was repeatable is refused once it no longer is', async () => {
  const session = await openSession(first)
  assert.equal(session.repeatablePipelines, ['script'])
  const document = JSON.parse(plan.configurationText) as { readonly upstreams: readonly { readonly role: string }[] }
  const upstreams = document.upstreams.map(upstream => ({ ...upstream, mayCallTwice: upstream.role !== 'rerank' }))
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 8, upstreams })
  await waitUntil(async () => (await readVersions()).every(version => version === 8))
  const refusal = findRefusal(await readAll(createRequestClient(first).submit(createRequest(session, 1, 'id=h1'))))
  assert.equal([refusal?.name, refusal?.execution], ['sessionOutdated', Execution.NOT_RUN])
  assert.is(await countRuns('h1', 'encode'), 0)
  await fleet.control.publish('pepperwood/configuration', { ...document, version: 9 })
  await waitUntil(async () => (await readVersions()).every(version => version === 9))
})

test('a draining gate completes requests in progress and redirects new callers', async () => {
  const session = await openSession(third)
  const client = createRequestClient(third)
  const stream = readAll(client.submit(createRequest(session, 1, 'id=d1 tokens=60')))
  await waitUntil(async () => await countRuns('d1', 'generate') === 1)
  const progress = await createOperatorClient(third).drain({})
  assert.is(progress.requestsInProgress, 1)
  const refusal = findRefusal(await readAll(client.submit(createRequest(session, 2, 'id=d2'))))
  assert.equal([refusal?.name, refusal?.execution], ['gateDraining', Execution.NOT_RUN])
  const events = await stream
  assert.is(events.at(-1)?.event.case, 'end')
  await waitUntil(async () => (await createRequestClient(first).locate({ customer: CUSTOMER })).gates.every(gate => gate.address !== third))
  const caller = createCaller([third, first])
  assert.ok((await caller.submit({ pipeline: 'booking', input: 'id=d3', deadlineMs: 2000, unrepeatable: true })).isRight())
  caller.dispose()
})

test('an unrepeatable stage is not run again at another gate when its gate fails, even if the request is not marked unrepeatable', async () => {
  await fleet.control.setFaults('booking-*', { hang: 1 })
  const caller = createCaller([second])
  // The steps before the gate fails can take seconds on a busy machine. The long deadline keeps them out of the test.
  const submitted = caller.submit({ pipeline: 'booking', input: 'id=e1', deadlineMs: 15_000 })
  await waitUntil(async () => await countRuns('e1', 'booking') === 1)
  const running = await Promise.all([first, second].map(async address => await countRunning(address)))
  assert.equal([...running].sort(), [0, 1])
  fleet.gates[running.indexOf(1)]?.dispose()
  const error = (await submitted).swap().unsafeCoerce()
  assert.equal([error.resultName, error.execution], ['outcomeUnknown', 'mayHaveRun'])
  assert.is(await countRuns('e1', 'booking'), 1)
  await fleet.control.setFaults('booking-*', {})
  caller.dispose()
})

test.run()
