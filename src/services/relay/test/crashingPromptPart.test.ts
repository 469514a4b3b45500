// Guards against requests that all differ but share one part of their prompts, which crashes each upstream that begins to
// answer: 24 upstreams crashed in 20 s, since evidence was kept by the digest of the whole request. In the log every lost
// run had a digest of its own, and nothing was quarantined. Also guards against answers without framing that end because
// their upstream crashed: they counted as whole, and cleared the request that had caused the crash.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { runFleet } from './crashingFleet.ts'
import type { CrashingFleet, FleetRequest } from './crashingFleet.ts'
import { isComplete } from './fakes.ts'
import type { ReceivedAnswer } from './fakes.ts'

const test = suite('crashingPromptPart')

const CRASHING_PART = 'bad'
const CRASHING_BODY = 'crash'
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

interface CrashOptions {
  /** What an upstream sends of an answer before it crashes, after the head. */
  readonly beforeCrash?: string
  readonly isFramed?: boolean
}

/** Upstreams that crash on a part of a prompt or on a body. */
class PromptFleet {
  /** The part crashes upstreams only from some moment on. */
  isCrashing = true

  constructor (readonly fleet: CrashingFleet) {}

  get crashCount (): number {
    return this.fleet.crashes.length
  }

  async submit (id: string, parts: readonly string[], body = `body of ${id}`): Promise<string> {
    return (await this.fleet.harness.submit(id, body, `Parts: ${[...parts, `${id}-last`].join()}\r\n`)).text
  }

  answer ({ id, text, socket }: FleetRequest, crash: () => void, { beforeCrash = PARTIAL_EVENT, isFramed = true }: CrashOptions): void {
    const parts = /^Parts: (.+)\r$/m.exec(text)?.[1]?.split(',').slice(0, -1) ?? []
    const head = `HTTP/1.1 200 OK\r\nId: ${id}\r\n`
    if (this.isCrashing && (parts.includes(CRASHING_PART) || text.endsWith(CRASHING_BODY))) {
      socket.write(`${head}${isFramed ? 'Content-Length: 99' : 'Connection: close'}\r\n\r\n${beforeCrash}`)
      setTimeout(crash, CRASH_MS)
      return
    }
    const runMs = id.startsWith('long') ? LONG_STREAM_MS : RUN_MS
    setTimeout(() => { if (!socket.destroyed) socket.write(`${head}Content-Length: ${2 * EVENT.length}\r\n\r\n${EVENT}`) }, RUN_MS)
    setTimeout(() => { if (!socket.destroyed) socket.write(EVENT) }, runMs)
  }
}

async function runPrompts (options: CrashOptions, run: (prompts: PromptFleet) => Promise<void>): Promise<void> {
  let prompts: PromptFleet | undefined
  const route = { kind: RouteKind.STREAM, maxAttempts: 1, timeoutMs: 5000 }
  await runFleet({ route, answer: (request, crash) => prompts?.answer(request, crash, options) }, async fleet => {
    prompts = new PromptFleet(fleet)
    await run(prompts)
  })
}

const QUARANTINED = /^HTTP\/1\.1 503 .*requestQuarantined$/s
const isQuarantined = (text: string) => QUARANTINED.test(text)
/** Two events and the end of a chunked body. */
const isServed = (text: string) => text.startsWith('HTTP/1.1 200') && text.split(EVENT).length === 3 && text.endsWith('0\r\n\r\n')

test('requests that share a crashing part reach no fourth upstream, and requests with their other parts are served', () => runPrompts({}, async fleet => {
  const refused: string[] = []
  const sound: string[] = []
  for (let index = 0; index < TRIES; index++) {
    const others = [['popular'], ['popular', `other${index % 2}`], ['popular', `other${index % 3}`, 'common']]
    const beside = others.map((parts, number) => fleet.submit(`beside${index}-${number}`, parts))
    refused.push(await fleet.submit(`try${index}`, index % 2 === 0 ? ['popular', CRASHING_PART] : ['popular', CRASHING_PART, 'common']))
    sound.push(...await Promise.all(beside))
  }
  assert.is(fleet.crashCount, MAX_CRASHES)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
  assert.is(sound.filter(isQuarantined).length, 0)
  assert.ok(sound.slice(TRIES).every(isServed), 'all are served once the part is quarantined')
}))

test('a crashing part is found wherever it stands and whatever other parts a request has', () => runPrompts({}, async fleet => {
  const prompts = [['a', CRASHING_PART], ['a', CRASHING_PART, 'b'], [CRASHING_PART], ['c', 'd', CRASHING_PART]]
  const refused: string[] = []
  for (let index = 0; index < TRIES; index++) refused.push(await fleet.submit(`try${index}`, prompts[index % prompts.length] ?? []))
  assert.ok(fleet.crashCount <= MAX_AMBIGUOUS_CRASHES, `${fleet.crashCount} crashed`)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
  for (const part of ['a', 'b', 'c', 'd']) assert.ok(isServed(await fleet.submit(`sound-${part}`, [part])), `requests with ${part} are served`)
}))

test('a stream that began before the first crash and ends after it does not clear the part', () => runPrompts({}, async fleet => {
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
  assert.ok(fleet.crashCount <= MAX_CRASHES, `${fleet.crashCount} crashed`)
  assert.match(refused.at(-1) ?? '', QUARANTINED)
}))

for (const [name, beforeCrash] of [['before its first event', ''], ['between two events', EVENT]] as const) {
  test(`an answer without framing that ends ${name} because its upstream crashed is not whole and clears nothing`, () => runPrompts({ beforeCrash, isFramed: false }, async ({ fleet }) => {
    const answers: ReceivedAnswer[] = []
    for (let index = 0; index < TRIES; index++) answers.push(await fleet.harness.submit(`try${index}`, CRASHING_BODY))
    assert.is(fleet.crashes.length, MAX_CRASHES)
    assert.is(answers.filter(answer => answer.text.startsWith('HTTP/1.1 200') && isComplete(answer)).length, 0)
    assert.match(answers.at(-1)?.text ?? '', QUARANTINED)
  }))
}

test.run()
