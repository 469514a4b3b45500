// Guards against requests that all differ but share one part of their prompts, which crashes each upstream that begins to
// answer: 24 upstreams crashed in 20 s, since evidence was kept by the digest of the whole request. In the log every lost
// run had a digest of its own, and nothing was quarantined. Also guards against answers without framing that end because
// their upstream crashed: they counted as whole, and cleared the request that had caused the crash.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('crashingPromptPart')

const CRASHING_PART = 'bad'
const CRASHING_BODY = 'crash'
const UPSTREAM_COUNT = 6
const TRIES = 20
/** Upstreams that a part may crash before requests with it are quarantined. */
const MAX_CRASHES = 3
/** A part is distinguished from one that it always came with only by a further crash. */
const MAX_AMBIGUOUS_CRASHES = 5
const RUN_MS = 30
const CRASH_MS = 10
/** Long enough for a stream to count as proof that its request does not crash upstreams. */
const LONG_STREAM_MS = 1500
const EVENT = 'id: 1\ndata: x\n\n'
const PARTIAL_EVENT = 'id: 2\nda'

interface FleetOptions {
  /** What an upstream sends of an answer before it crashes, after the head. */
  readonly beforeCrash?: string
  readonly isFramed?: boolean
}

/** Upstreams that crash on a part of a prompt or on a body, and are replaced by new instances. */
class CrashingFleet {
  readonly crashes: string[] = []
  readonly harness = new RelayHarness({ upstreams: [], route: { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 5000 } })
  private readonly _options: FleetOptions
  /** The part crashes upstreams only from some moment on. */
  isCrashing = true

  constructor (options: FleetOptions) {
    this._options = options
  }

  async start (): Promise<void> {
    await this.harness.start()
    for (let index = 0; index < UPSTREAM_COUNT; index++) await this._addUpstream()
  }

  private async _addUpstream (): Promise<void> {
    const { beforeCrash = PARTIAL_EVENT, isFramed = true } = this._options
    const upstream: FakeUpstream = new FakeUpstream((socket, head) => {
      const id = /^Id: (.+)\r$/m.exec(head)?.[1] ?? ''
      const parts = /^Parts: (.+)\r$/m.exec(head)?.[1]?.split(',').slice(0, -1) ?? []
      const answerHead = `HTTP/1.1 200 OK\r\nId: ${id}\r\n`
      const isCrashing = this.isCrashing && (parts.includes(CRASHING_PART) || head.endsWith(CRASHING_BODY))
      if (isCrashing) {
        socket.write(`${answerHead}${isFramed ? 'Content-Length: 99\r\n' : 'Connection: close\r\n'}\r\n${beforeCrash}`)
        setTimeout(() => this._endUpstream(upstream, upstreamId), CRASH_MS)
        return
      }
      const runMs = id.startsWith('long') ? LONG_STREAM_MS : RUN_MS
      setTimeout(() => { if (!socket.destroyed) socket.write(`${answerHead}Content-Length: ${2 * EVENT.length}\r\n\r\n${EVENT}`) }, RUN_MS)
      setTimeout(() => { if (!socket.destroyed) socket.write(EVENT) }, runMs)
    })
    const upstreamId = await this.harness.addUpstream(upstream)
  }

  private _endUpstream (upstream: FakeUpstream, upstreamId: string): void {
    if (this.crashes.includes(upstreamId)) return
    this.crashes.push(upstreamId)
    upstream.stop()
    void this._addUpstream()
    // The list of upstreams is updated with a delay.
    setTimeout(() => this.harness.registry.remove(upstreamId, 'test'), RUN_MS * 5)
  }

  async submit (id: string, parts: readonly string[], body = `body of ${id}`): Promise<string> {
    return (await this.harness.submit(id, body, `Parts: ${[...parts, `${id}-last`].join()}\r\n`)).text
  }
}

async function runFleet (options: FleetOptions, run: (fleet: CrashingFleet) => Promise<void>): Promise<void> {
  const fleet = new CrashingFleet(options)
  try {
    await fleet.start()
    await run(fleet)
  } finally {
    fleet.harness.dispose()
  }
}

const QUARANTINED = /^HTTP\/1\.1 503 .*requestQuarantined$/s
const isQuarantined = (text: string) => QUARANTINED.test(text)
/** Two events and the end of a chunked body. */
const isServed = (text: string) => text.startsWith('HTTP/1.1 200') && text.split(EVENT).length === 3 && text.endsWith('0\r\n\r\n')

test('requests that share a crashing part reach no fourth upstream, and requests with their other parts are served', () => runFleet({}, async fleet => {
  const refused: string[] = []
  const sound: string[] = []
  for (let index = 0; index < TRIES; index++) {
    const others = [['popular'], ['popular', `other${index % 2}`], ['popular', `other${index % 3}`, 'common']]
    const beside = others.map((parts, number) => fleet.submit(`beside${index}-${number}`, parts))
    refused.push(await fleet.submit(`try${index}`, index % 2 === 0 ? ['popular', CRASHING_PART] : ['popular', CRASHING_PART, 'common']))
    sound.push(...await Promise.all(beside))
  }
  assert.is(fleet.crashes.length, MAX_CRASHES)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
  assert.is(sound.filter(isQuarantined).length, 0)
  assert.ok(sound.slice(TRIES).every(isServed), 'all are served once the part is quarantined')
}))

test('a crashing part is found wherever it stands and whatever other parts a request has', () => runFleet({}, async fleet => {
  const prompts = [['a', CRASHING_PART], ['a', CRASHING_PART, 'b'], [CRASHING_PART], ['c', 'd', CRASHING_PART]]
  const refused: string[] = []
  for (let index = 0; index < TRIES; index++) refused.push(await fleet.submit(`try${index}`, prompts[index % prompts.length] ?? []))
  assert.ok(fleet.crashes.length <= MAX_AMBIGUOUS_CRASHES, `${fleet.crashes.length} crashed`)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
  for (const part of ['a', 'b', 'c', 'd']) assert.ok(isServed(await fleet.submit(`sound-${part}`, [part])), `requests with ${part} are served`)
}))

test('a stream that began before the first crash and ends after it does not clear the part', () => runFleet({}, async fleet => {
  fleet.isCrashing = false
  const begun = Array.from({ length: 3 }, (_item, index) => fleet.submit(`long${index}`, ['popular', CRASHING_PART]))
  await new Promise(resolve => { setTimeout(resolve, RUN_MS * 4) })
  fleet.isCrashing = true
  const until = performance.now() + LONG_STREAM_MS * 2
  const refused: string[] = []
  for (let index = 0; performance.now() < until; index++) {
    refused.push(await fleet.submit(`try${index}`, ['popular', CRASHING_PART]))
    await new Promise(resolve => { setTimeout(resolve, RUN_MS * 2) })
  }
  await Promise.all(begun)
  assert.ok(fleet.crashes.length <= MAX_CRASHES, `${fleet.crashes.length} crashed`)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
}))

for (const [name, beforeCrash] of [['before its first event', ''], ['between two events', EVENT]] as const) {
  test(`an answer without framing that ends ${name} because its upstream crashed is not whole and clears nothing`, () => runFleet({ beforeCrash, isFramed: false }, async fleet => {
    const answers: { readonly text: string, readonly end: string }[] = []
    for (let index = 0; index < TRIES; index++) answers.push(await fleet.harness.submit(`try${index}`, CRASHING_BODY))
    assert.is(fleet.crashes.length, MAX_CRASHES)
    assert.is(answers.filter(({ text, end }) => text.startsWith('HTTP/1.1 200') && end === 'closed').length, 0)
    assert.match(answers.at(-1)?.text ?? '', QUARANTINED)
  }))
}

test.run()
