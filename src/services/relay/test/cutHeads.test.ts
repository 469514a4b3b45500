// Guards against an upstream that stops in the middle of an answer's head, or right after it: callers of systems like this one got a
// 200 with an empty or short body, framed as whole. Here that was so for a head without a length that is followed by the end.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness, answerWith, isComplete } from './fakes.ts'

const test = suite('cutHeads')

const EVENT = 'id: 1\ndata: x\n\n'
const UPSTREAM_COUNT = 6
const MAX_CONCURRENT = 12
const CUT_STEP = 3
const LAST_CUTS = 8
const FRAMINGS: Readonly<Record<string, string>> = {
  length: `Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
  chunks: `Transfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`,
  none: '\r\n'
}
const ENDS = ['close', 'reset'] as const
const HEAD = 'HTTP/1.1 200 OK\r\nId: '

interface Cut {
  readonly id: string
  readonly text: string
  readonly end: typeof ENDS[number]
}

/** Cuts an answer after every third byte and after each of the last ones but the very last; a head without framing also after its end. */
function listCuts (): readonly Cut[] {
  return Object.entries(FRAMINGS).flatMap(([framing, rest]) => ENDS.flatMap(end => {
    const createId = (length: number) => `${framing}-${end}-${String(length).padStart(3, '0')}`
    const formatWhole = (length: number) => `${HEAD}${createId(length)}\r\n${rest}`
    const count = formatWhole(0).length - (framing === 'none' ? 0 : 1)
    const lengths = Array.from({ length: count }, (_item, index) => index + 1).filter(length => length % CUT_STEP === 0 || length > count - LAST_CUTS)
    return lengths.map(length => ({ id: createId(length), text: formatWhole(length).slice(0, length), end }))
  }))
}

for (const kind of [RouteKind.REPEATABLE, RouteKind.STREAM]) {
  test(`an answer that is cut anywhere up to its body's last byte is never whole: ${RouteKind[kind]}`, async () => {
    const cuts = listCuts()
    const cutsById = new Map(cuts.map(cut => [cut.id, cut]))
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, () => new FakeUpstream((socket, text) => {
      const id = /^Id: (.+)\r$/m.exec(text)?.[1] ?? ''
      const cut = cutsById.get(id)
      if (cut === undefined) answerWith(`${HEAD}${id}\r\n${FRAMINGS.length}`)(socket, text)
      else answerWith(cut.text, cut.end)(socket, text)
    }))
    const harness = new RelayHarness({ upstreams, route: { kind, maxAttempts: 1, timeoutMs: 2000 } })
    await harness.start()
    try {
      const whole: string[] = []
      for (let index = 0; index < cuts.length; index += MAX_CONCURRENT) {
        // Leaves idle connections, so that some cuts come in the second answer of a connection.
        const sound = await Promise.all(cuts.slice(index, index + MAX_CONCURRENT).map(({ id }) => harness.call(`sound-${id}`)))
        assert.ok(sound.every(answer => isComplete(answer) && answer.text.startsWith('HTTP/1.1 200')), 'sound answers are whole')
        const answers = await Promise.all(cuts.slice(index, index + MAX_CONCURRENT).map(async ({ id }) => ({ id, answer: await harness.call(id) })))
        whole.push(...answers.filter(({ answer }) => answer.text.startsWith('HTTP/1.1 200') && isComplete(answer)).map(({ id }) => id))
      }
      assert.equal(whole, [])
    } finally {
      harness.dispose()
    }
  })
}

test('an answer that has no body by its status is whole without a length', async () => {
  const upstream = new FakeUpstream(answerWith('HTTP/1.1 204 No Content\r\nId: a\r\n\r\n', 'close'))
  const harness = new RelayHarness({ upstreams: [upstream], route: { maxAttempts: 1 } })
  await harness.start()
  try {
    assert.match((await harness.call('a')).text, /^HTTP\/1\.1 204/)
  } finally {
    harness.dispose()
  }
})

test.run()
