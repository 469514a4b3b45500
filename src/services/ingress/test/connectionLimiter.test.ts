import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { VirtualClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { waitUntil } from '../../../base/test/polling.ts'
import { chooseConnectionToClose } from '../common/connectionReplacement.ts'
import { ConnectionLimiter } from '../node/connectionLimiter.ts'

const test = suite('connectionLimiter')

const MAX_WAIT_MS = 2000

class Fixture extends Disposable {
  readonly clock = new VirtualClock()
  readonly closed = new Set<string>()
  readonly serverSockets: Socket[] = []
  private readonly _server = createServer((_request, response) => response.end())
  readonly limiter = new ConnectionLimiter({ server: this._server, clock: this.clock, maxConnections: 2, onDidReplace: () => {} })

  constructor () {
    super()
    this._server.on('connection', socket => this.serverSockets.push(socket))
    this._register(toDisposable(() => {
      this._server.close()
      this._server.closeAllConnections()
    }))
  }

  listen (): Promise<void> {
    return new Promise(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
  }

  /** Opens a connection; resolves once the server has accepted it. */
  async connect (name: string): Promise<Socket> {
    const count = this.serverSockets.length
    const socket = connect((this._server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.on('close', () => this.closed.add(name))
    await waitUntil(() => this.serverSockets.length > count, MAX_WAIT_MS)
    this.clock.advance(1000)
    return this.serverSockets.at(-1) as Socket
  }
}

async function runFixture (run: (fixture: Fixture) => Promise<void>): Promise<void> {
  const fixture = new Fixture()
  try {
    await fixture.listen()
    await run(fixture)
  } finally {
    fixture.dispose()
  }
}

test('the connection without progress for the longest time is replaced', async () => {
  await runFixture(async fixture => {
    const first = await fixture.connect('first')
    await fixture.connect('second')
    fixture.limiter.recordProgress(first)
    await fixture.connect('third')
    await waitUntil(() => fixture.closed.has('second'), MAX_WAIT_MS)
    assert.equal([...fixture.closed], ['second'])
    assert.is(fixture.limiter.replacedCount, 1)
  })
})

test('a connection on which a request runs is kept, also if a new one cannot be accepted', async () => {
  await runFixture(async fixture => {
    for (const name of ['first', 'second']) fixture.limiter.beginRequest(await fixture.connect(name))
    await fixture.connect('third')
    await waitUntil(() => fixture.closed.has('third'), MAX_WAIT_MS)
    assert.equal([...fixture.closed], ['third'])
  })
})

test('a connection that has served requests is kept longer than one that has not', async () => {
  await runFixture(async fixture => {
    const served = await fixture.connect('served')
    fixture.limiter.beginRequest(served)
    fixture.limiter.endRequest(served)
    await fixture.connect('unserved')
    await fixture.connect('third')
    await waitUntil(() => fixture.closed.size > 0, MAX_WAIT_MS)
    assert.equal([...fixture.closed], ['unserved'])
  })
})

test('a new connection, whose request may be on the way, is kept', () => {
  const unserved = { progressAt: 900 }
  const served = { progressAt: 100 }
  assert.is(chooseConnectionToClose({ unserved, served, now: 1000 }), served)
  assert.is(chooseConnectionToClose({ unserved, served, now: 2000 }), unserved)
  assert.is(chooseConnectionToClose({ unserved, served: undefined, now: 1000 }), unserved)
  assert.is(chooseConnectionToClose({ unserved: undefined, served: undefined, now: 1000 }), undefined)
})

test.run()
