import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { answerWith, FakeUpstream, RelayHarness } from './fakes.ts'

const test = suite('requestMemory')

const BODY_BYTES = 100_000
const OK = 'HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok'

/** A relay whose requests may hold little more than one body and its copy. */
function createRelay (): RelayHarness {
  return new RelayHarness({ maxHeldBytes: 3 * BODY_BYTES, upstreams: [new FakeUpstream(answerWith(OK))] })
}

test('a request that fits is served, and gives back what it held', async () => {
  const relay = createRelay()
  try {
    await relay.start()
    for (let count = 0; count < 5; count++) {
      const { text } = await relay.submit('a', 'x'.repeat(BODY_BYTES))
      assert.match(text, /^HTTP\/1.1 200/)
    }
  } finally {
    relay.dispose()
  }
})

test('the body that is larger and makes no progress gives way, and its caller is told that the request did not run', async () => {
  const relay = createRelay()
  try {
    await relay.start()
    const socket = connect(relay.port, '127.0.0.1')
    let received = ''
    socket.on('data', data => { received += data.toString('latin1') })
    socket.on('error', () => {})
    socket.write(`POST /x HTTP/1.1\r\nHost: h\r\nId: b\r\nContent-Length: 250000\r\n\r\n${'x'.repeat(200_000)}`)
    await waitFor(1100)
    const { text } = await relay.submit('a', 'x'.repeat(BODY_BYTES))
    assert.match(text, /^HTTP\/1.1 200/)
    assert.match(received, /^HTTP\/1.1 503[^]*overloaded$/)
    assert.ok(relay.logLines.some(line => line.includes('event=request_refused') && line.includes('request=b') && line.includes('not_run=true')))
  } finally {
    relay.dispose()
  }
})

test('a request without memory is refused at once, since nothing can give any back', async () => {
  const relay = new RelayHarness({ maxHeldBytes: 1000, upstreams: [new FakeUpstream(answerWith(OK))] })
  try {
    await relay.start()
    const { text } = await relay.call('a')
    assert.match(text, /^HTTP\/1.1 503[^]*overloaded$/)
  } finally {
    relay.dispose()
  }
})

test.run()
