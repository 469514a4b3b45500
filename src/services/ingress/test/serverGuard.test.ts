import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { ServerGuard } from '../node/serverGuard.ts'

const test = suite('serverGuard')

interface Exchange {
  readonly text: string
  readonly isClosed: boolean
}

/** Sends text to a guarded server that answers with the path of each request. */
async function exchange (sent: string, answerMs = 0): Promise<Exchange & { readonly maxActive: number }> {
  let [active, maxActive] = [0, 0]
  const server = createServer((request, response) => {
    void guard.handle(request, response, async () => {
      maxActive = Math.max(maxActive, ++active)
      await waitFor(answerMs)
      active--
      if (request.url === '/throw') throw new Error('failed')
      response.end(request.url)
    })
  })
  const guard = new ServerGuard(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let [text, isClosed] = ['', false]
  socket.on('data', data => { text += data.toString('latin1') })
  socket.on('error', () => {})
  socket.once('close', () => { isClosed = true })
  socket.write(sent)
  await waitFor(300)
  socket.destroy()
  server.close()
  server.closeAllConnections()
  guard.dispose()
  return { text, isClosed, maxActive }
}

function formatRequests (paths: readonly string[]): string {
  return paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join('')
}

test('requests that are sent ahead are answered one after the other', async () => {
  const { text, isClosed, maxActive } = await exchange(formatRequests(['/a', '/b', '/c']), 20)
  assert.equal(text.match(/\/[abc]/g), ['/a', '/b', '/c'])
  assert.is(maxActive, 1)
  assert.not(isClosed)
})

test('a connection with too many requests ahead closes after its answers', async () => {
  const { text, isClosed } = await exchange(formatRequests(Array.from({ length: 200 }, () => '/a')))
  assert.is(text.match(/\/a/g)?.length, 64)
  assert.ok(isClosed)
})

test('a request with a body is answered, and its connection closes', async () => {
  const { text, isClosed } = await exchange('POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n')
  assert.match(text, /^HTTP\/1.1 200[^]*\/a/)
  assert.ok(isClosed)
})

test('a failure closes the connection of the request alone', async () => {
  const { text, isClosed } = await exchange(formatRequests(['/throw']))
  assert.is(text, '')
  assert.ok(isClosed)
})

test.run()
