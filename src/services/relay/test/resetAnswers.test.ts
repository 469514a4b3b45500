// Guards against answers without a length that are passed on as whole although a reset, a crash while the upstream leaves or an
// unknown transfer encoding cut them.
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RouteKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import { answerWith, FakeUpstream, RelayHarness, isComplete } from './fakes.ts'
import type { ReceivedAnswer, UpstreamScript } from './fakes.ts'

const test = suite('resetAnswers')

const EVENT = 'id: 1\ndata: x\n\n'
const UNFRAMED = `HTTP/1.1 200 OK\r\nId: a\r\n\r\n${EVENT}`
const ROUNDS = 20
/** The second does not fit into the buffers of the connection. */
const UPLOADS = ['', 'b'.repeat(3_000_000)]

function isWholeSuccess (answer: ReceivedAnswer): boolean {
  return answer.text.startsWith('HTTP/1.1 2') && isComplete(answer)
}

/** Sends the same request several times to an upstream; returns the answers. */
async function collectAnswers (kind: RouteKind, createScript: (harness: () => RelayHarness, upstream: () => FakeUpstream) => UpstreamScript, { rounds = ROUNDS, body = '', timeoutMs = 2000 } = {}): Promise<readonly ReceivedAnswer[]> {
  const upstream: FakeUpstream = new FakeUpstream(createScript(() => harness, () => upstream))
  const harness: RelayHarness = new RelayHarness({ upstreams: [upstream], route: { kind, maxAttempts: 1, timeoutMs } })
  const answers: ReceivedAnswer[] = []
  try {
    await harness.start()
    for (let round = 0; round < rounds; round++) answers.push(body === '' ? await harness.call('a') : await harness.submit('a', body))
    return answers
  } finally {
    harness.dispose()
  }
}

/** Sends an answer for each request whose head arrives; what follows of a body is not read. */
function answerUnread (end: 'close' | 'resetAtOnce'): UpstreamScript {
  return (socket, head) => {
    socket.pause()
    if (head.includes('Id: a')) answerWith(UNFRAMED, end)(socket, head)
  }
}

for (const kind of [RouteKind.REPEATABLE, RouteKind.STREAM]) {
  for (const body of UPLOADS) {
    test(`an answer whose bytes and reset are seen together is not whole: ${RouteKind[kind]}, request of ${body.length} bytes`, async () => {
      const answers = await collectAnswers(kind, () => answerUnread('resetAtOnce'), { body })
      assert.is(answers.filter(isWholeSuccess).length, 0)
    })

    test(`an answer that ends with an orderly close is whole: ${RouteKind[kind]}, request of ${body.length} bytes`, async () => {
      const answers = await collectAnswers(kind, () => answerUnread('close'), { body })
      assert.is(answers.filter(answer => isWholeSuccess(answer) && answer.text.includes(EVENT)).length, ROUNDS)
    })
  }

  test(`the check of an answer's end does not outlast the deadline: ${RouteKind[kind]}`, async () => {
    const [answer] = await collectAnswers(kind, () => socket => { socket.write('HTTP/1.1 200 OK\r\nId: a\r\n\r\nid: 1\ndata: x\n\n'); setTimeout(() => socket.end(), 40) }, { rounds: 1, timeoutMs: 90 })
    assert.match(answer?.text ?? '', kind === RouteKind.STREAM ? /data: x\n\n\r\n$/ : /deadlinePassed$/)
  })

  for (const listing of ['leaving', 'removed'] as const) {
    test(`an answer is not whole if its upstream crashes while it is ${listing}: ${RouteKind[kind]}`, async () => {
      const [answer] = await collectAnswers(kind, (getHarness, getUpstream) => socket => {
        socket.write(UNFRAMED)
        const { registry } = getHarness()
        if (listing === 'removed') registry.removePermanently('u0', 'test')
        else registry.update({ id: 'u0', role: 'u', address: getUpstream().address, hall: '', slots: 4, isLeaving: true }, 'test')
        setTimeout(() => getUpstream().stop(), 30)
      }, { rounds: 1 })
      assert.not(answer === undefined || isWholeSuccess(answer), answer?.text)
    })
  }

  for (const encoding of ['gzip', 'identity', 'chunked, gzip', 'gzip, chunked', 'xchunked', 'chunked;q=1']) {
    test(`an answer with the transfer encoding ${encoding} is not passed on: ${RouteKind[kind]}`, async () => {
      const [answer] = await collectAnswers(kind, () => answerWith(`HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: ${encoding}\r\n\r\nf\r\n${EVENT}\r\n0\r\n\r\n`, 'close'), { rounds: 1 })
      assert.match(answer?.text ?? '', /^HTTP\/1\.1 502/)
    })
  }
}

test.run()
