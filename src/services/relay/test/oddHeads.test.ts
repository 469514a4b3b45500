// Guards against an engine in trouble whose answer's head is not HTTP. With a blank or a control byte in it, callers got it as an
// answer, with a body that was not the engine's, where the environment allows an insecure parser; see `insecureParser.test.ts`. With
// a status that HTTP does not have, they got it as an answer or no answer at all.
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitUntil } from '../../../base/test/polling.ts'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { FakeUpstream, RelayHarness, answerWith, isComplete } from './fakes.ts'

const test = suite('oddHeads')

const EVENT = 'id: 1\ndata: x\n\n'
const OK = 'HTTP/1.1 200 OK'
const LENGTH = `Content-Length: ${EVENT.length}`
const ODD_BYTES = ['\0', '\x01', '\t', '\n', '\r', ' ', '\x7f']
/** Bytes that are valid within a value. */
const VALUE_BYTES = ['\t', ' ']
const MAX_CONCURRENT = 12
/** Longer than the timeout of the route. */
const MAX_WAIT_MS = 3000
const SOUND = `${OK}\r\nId: ID\r\n${LENGTH}\r\n\r\n${EVENT}`
const ODD_STATUSES = ['000', '001', '099', '101', '600', '999']
const ODD_LINES = [...ODD_STATUSES.map(status => `HTTP/1.1 ${status} Odd`), 'HTTP/0.9 200 OK', 'HTTP/2.0 200 OK', 'HTTP/1.1 200 O\0K']

function listOddNames (byte: string): readonly string[] {
  return [`${byte}X-Odd: 1`, `X-${byte}Odd: 1`, `X-Odd${byte}: 1`]
}

function formatTrailer (line: string): string {
  return `${OK}\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n${line}\r\n\r\n`
}

/** Answers with `ID` in place of the request's id. */
const ODD_BYTE_ANSWERS = ODD_BYTES.flatMap(byte => [
  ...listOddNames(byte).flatMap(line => [
    `${OK}\r\n${line}\r\nId: ID\r\n${LENGTH}\r\n\r\n${EVENT}`,
    `${OK}\r\nId: ID\r\n${LENGTH}\r\n${line}\r\nX-Last: 1\r\n\r\n${EVENT}`,
    `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\n${OK}\r\nId: ID\r\n${LENGTH}\r\n\r\n${EVENT}`,
    formatTrailer(line)
  ]),
  ...VALUE_BYTES.includes(byte) ? [] : [`${OK}\r\nX-Odd: a${byte}b\r\nId: ID\r\n${LENGTH}\r\n\r\n${EVENT}`, formatTrailer(`X-Odd: a${byte}b`)]
])

const ODD_LINE_ANSWERS = [
  ...ODD_LINES.flatMap(line => [`${line}\r\nId: ID\r\n${LENGTH}\r\n\r\n${EVENT}`, `${line}\r\nId: ID\r\n\r\n`]),
  // After a refused interim response the parser goes on with the answer behind it.
  ...['HTTP/1.1 103 Early\x01Hints', 'HTTP/1.0 101 Odd'].map(line => `${line}\r\n\r\n${SOUND}`),
  `${'HTTP/1.1 102 Processing\r\n\r\n'.repeat(33)}${SOUND}`
]

/** Sends each answer as that of an upstream to a request of its own; returns those that the caller received as whole. */
async function findWhole (kind: RouteKind, answers: readonly string[]): Promise<readonly string[]> {
  const upstream = new FakeUpstream((socket, head) => {
    const id = /^Id: (.+)\r$/m.exec(head)?.[1] ?? ''
    const text = answers[Number(id)] ?? SOUND
    socket.write(text.replace('ID', id), 'latin1', () => socket.end())
  })
  const harness = new RelayHarness({ upstreams: [upstream], route: { kind, maxAttempts: 1, timeoutMs: 2000 } })
  await harness.start()
  try {
    const whole: string[] = []
    for (let first = 0; first < answers.length; first += MAX_CONCURRENT) {
      await Promise.all(answers.slice(first, first + MAX_CONCURRENT).map(async (text, index) => {
        const answer = await harness.call(String(first + index), '', MAX_WAIT_MS)
        const isRefused = answer.text.startsWith('HTTP/1.1 502')
        if (!isRefused && (answer.text === '' || isComplete(answer))) whole.push(`${JSON.stringify(text.slice(0, 60))} gave ${JSON.stringify(answer.text)}`)
      }))
    }
    assert.match((await harness.call('sound')).text, EVENT)
    return whole
  } finally {
    harness.dispose()
  }
}

for (const kind of [RouteKind.REPEATABLE, RouteKind.STREAM]) {
  test(`an answer with a blank or a control byte in a name, or with a control byte in a value, is never whole: ${RouteKind[kind]}`, async () => {
    assert.equal(await findWhole(kind, ODD_BYTE_ANSWERS), [])
  })

  test(`an answer whose status line is not HTTP is not passed on: ${RouteKind[kind]}`, async () => {
    assert.equal(await findWhole(kind, ODD_LINE_ANSWERS), [])
  })
}

test('an answer whose head is not HTTP counts as lost: its connection is closed, and only a repeatable request is sent again', async () => {
  for (const [kind, status, sendCount] of [[RouteKind.REPEATABLE, '200', 2], [RouteKind.UNREPEATABLE, '502', 1]] as const) {
    const sockets: Socket[] = []
    const upstreams = [0, 1].map(() => new FakeUpstream(socket => {
      sockets.push(socket)
      socket.write((sockets.length === 1 ? SOUND.replace(OK, 'HTTP/1.1 000 Odd') : SOUND).replace('ID', 'a'))
    }))
    const harness = new RelayHarness({ upstreams, route: { kind, maxAttempts: 2 } })
    await harness.start()
    try {
      assert.is((await harness.call('a', '', MAX_WAIT_MS)).text.slice(9, 12), status)
      assert.is(sockets.length, sendCount)
      assert.ok(await waitUntil(() => sockets[0]?.destroyed === true, MAX_WAIT_MS), 'the connection is still open')
    } finally {
      harness.dispose()
    }
  }
})

test('a request with a blank or a control byte in a name is not sent to an upstream', async () => {
  const upstream = new FakeUpstream(answerWith(`${OK}\r\nId: a\r\n${LENGTH}\r\n\r\n${EVENT}`, 'close'))
  const harness = new RelayHarness({ upstreams: [upstream] })
  await harness.start()
  try {
    for (const line of ODD_BYTES.flatMap(listOddNames)) await harness.call('a', `${line}\r\n`)
    assert.equal(upstream.requestHeads, [])
  } finally {
    harness.dispose()
  }
})

test.run()
