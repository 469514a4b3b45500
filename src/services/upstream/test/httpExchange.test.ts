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

test.run()
