import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startExchange } from '../node/httpExchange.ts'

const test = suite('httpExchange')

test('an exchange that is withheld after its connection was opened writes no byte', async () => {
  let bytes = 0
  const server = createServer(socket => { socket.on('data', data => { bytes += data.length }) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const start = await startExchange({ address, method: 'POST', path: '/', body: 'x', agent: false, connectTimeoutMs: 400, onWillSend: () => false })
  assert.equal(start, { kind: 'notSent', reason: 'not sent', isWithheld: true })
  await new Promise(resolve => { server.close(resolve) })
  assert.is(bytes, 0)
})

// After a close, what the upstream or the link holds up would be delivered later, when nobody waits for it any more.
test('a request that is given up before its answer began resets its connection, and is lost', async () => {
  const controller = new AbortController()
  let ending: unknown
  const server = createServer(socket => {
    socket.once('data', () => controller.abort())
    socket.once('error', (error: NodeJS.ErrnoException) => { ending = error.code })
    socket.once('end', () => { ending ??= 'closed' })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const start = await startExchange({ address, method: 'POST', path: '/', body: 'x', agent: false, connectTimeoutMs: 400, signal: controller.signal })
  assert.equal(start, { kind: 'lost', reason: 'aborted' })
  await new Promise(resolve => { server.close(resolve) })
  assert.is(ending, 'ECONNRESET')
})

test('a request that is given up ends at once, also if its upstream does not read all of it', async () => {
  const controller = new AbortController()
  const server = createServer({ pauseOnConnect: true }, socket => { socket.on('error', () => {}) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  setTimeout(() => controller.abort(), 50)
  const start = await startExchange({ address, method: 'POST', path: '/', body: Buffer.alloc(16_000_000), agent: false, connectTimeoutMs: 400, signal: controller.signal })
  assert.is(start.kind, 'lost')
  server.close()
})

test('a request whose signal has been aborted is not sent', async () => {
  const start = await startExchange({ address: '127.0.0.1:1', method: 'GET', path: '/', agent: false, connectTimeoutMs: 400, signal: AbortSignal.abort() })
  assert.equal(start, { kind: 'notSent', reason: 'aborted', isWithheld: false })
})

test.run()
