import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FrameConnection, MAX_FRAME_BYTES } from '../../../base/node/frameConnection.ts'
import { checkMessage } from '../common/wireMessage.ts'

const test = suite('wireMessage')
const fact = { subject: 'leaving/u', incarnation: 1, counter: 1, value: { kind: 'leaving', upstream: 'u', signal: 's' }, ageMs: 0 }

test('valid messages are accepted', () => {
  assert.ok(checkMessage({ kind: 'facts', facts: [fact] }).isRight())
  assert.ok(checkMessage({ kind: 'ping', id: 1 }).isRight())
  assert.ok(checkMessage({ kind: 'ping', id: 1, target: '127.0.0.1:1' }).isRight())
})

const refused: readonly (readonly [string, unknown, string])[] = [
  ['nothing', undefined, 'frameInvalid'],
  ['a number', 7, 'frameInvalid'],
  ['no kind', {}, 'frameInvalid'],
  ['an unknown kind', { kind: 'gossip2' }, 'messageUnknown'],
  ['a missing field', { kind: 'ping' }, 'frameInvalid'],
  ['a wrong type', { kind: 'ping', id: '1' }, 'frameInvalid'],
  ['a negative counter', { kind: 'facts', facts: [{ ...fact, counter: -1 }] }, 'frameInvalid'],
  ['a fact of a known kind with wrong fields', { kind: 'facts', facts: [fact, { ...fact, value: { kind: 'leaving', upstream: 7 } }] }, 'frameInvalid'],
  ['a fact without a kind', { kind: 'facts', facts: [fact, { ...fact, value: {} }] }, 'frameInvalid'],
  ['a name that is too long', { kind: 'facts', facts: [{ ...fact, subject: 'x'.repeat(300) }] }, 'frameInvalid']
]

for (const [name, frame, expected] of refused) {
  test(`${name}: ${expected}`, () => {
    assert.is(checkMessage(frame).swap().map(error => error.resultName).orDefault('internal'), expected)
  })
}

test('facts of kinds that only newer versions know are left out, and the others are accepted', () => {
  const unknown = { ...fact, subject: 'novel/x', value: { kind: 'novel', fields: [1, 2] } }
  const message = checkMessage({ kind: 'facts', facts: [unknown, fact, unknown] })
  assert.equal(message.extract(), { kind: 'facts', facts: [fact] })
})

async function openConnectionPair (): Promise<{ readonly sender: Socket, readonly receiver: FrameConnection, readonly close: () => void }> {
  return await new Promise(resolve => {
    const server = createServer(socket => {
      const receiver = new FrameConnection(socket)
      resolve({ sender, receiver, close: () => { sender.destroy(); receiver.dispose(); server.close() } })
    })
    let sender: Socket
    server.listen(0, '127.0.0.1', () => { sender = connect((server.address() as AddressInfo).port, '127.0.0.1') })
  })
}

function createFrame (value: unknown): Buffer {
  const body = new Encoder({ useRecords: false }).encode(value)
  const head = Buffer.alloc(4)
  head.writeUInt32BE(body.length)
  return Buffer.concat([head, body])
}

test('frames arrive complete however the bytes are split and joined in transit', async () => {
  const { sender, receiver, close } = await openConnectionPair()
  const values = [{ a: 1 }, { b: 'x'.repeat(5000) }, { c: [1, 2, 3] }]
  const bytes = Buffer.concat(values.map(createFrame))
  const received: unknown[] = []
  await new Promise<void>(resolve => {
    receiver.onDidReceive(value => { if (received.push(value) === values.length) resolve() })
    sender.setNoDelay(true)
    for (let start = 0; start < bytes.length; start += 7) sender.write(bytes.subarray(start, start + 7))
  })
  assert.equal(received, values)
  close()
})

for (const [name, bytes, expected] of [
  ['a frame that is too large', (() => { const head = Buffer.alloc(4); head.writeUInt32BE(MAX_FRAME_BYTES + 1); return head })(), 'frameTooLarge'],
  ['bytes that cannot be decoded', Buffer.from([0, 0, 0, 2, 0x1c, 0xff]), 'frameUnreadable']
] as const) {
  test(`${name}: the connection is closed`, async () => {
    const { sender, receiver, close } = await openConnectionPair()
    const fault = await new Promise(resolve => {
      receiver.onDidClose(resolve)
      sender.write(bytes)
    })
    assert.is(fault, expected)
    close()
  })
}

test.run()
