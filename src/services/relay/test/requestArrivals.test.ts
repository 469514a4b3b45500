/**
 * Guards against timeouts that count from when the event loop reads a request: while it was busy, answers ended late by the time for
 * which their requests had waited.
 */
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../../base/node/interval.ts'
import { LoopDelay } from '../../../base/node/loopDelay.ts'
import { SystemClock } from '../../../base/node/systemClock.ts'
import { RequestArrivals } from '../node/requestArrivals.ts'

const test = suite('requestArrivals')

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
const BUSY_MS = 400
const MAX_ERROR_MS = 100

function blockLoop (): void {
  const until = performance.now() + BUSY_MS
  while (performance.now() < until);
}

/** Resolves with how long before it was read each request is estimated to have arrived, in milliseconds. */
async function runWith (send: (open: () => Socket) => Promise<void>): Promise<readonly number[]> {
  const clock = new SystemClock()
  const loopDelay = new LoopDelay(clock)
  const waits: number[] = []
  const server = createServer((request, response) => {
    waits.push(clock.now() - arrivals.estimateArrival(request.socket))
    response.end()
  })
  const arrivals = new RequestArrivals({ server, clock, loopDelay })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const sockets: Socket[] = []
  try {
    await waitFor(150)
    await send(() => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      sockets.push(socket)
      return socket
    })
    return waits
  } finally {
    for (const socket of sockets) socket.destroy()
    server.close()
    loopDelay.dispose()
  }
}

test('a request that the busy event loop could not read counts from when it may have been sent', async () => {
  const waits = await runWith(async open => {
    const socket = open()
    await waitFor(150)
    socket.write(REQUEST)
    blockLoop()
    await waitFor(100)
  })
  assert.is(waits.length, 1)
  assert.ok(Math.abs((waits[0] ?? 0) - BUSY_MS) < MAX_ERROR_MS, `${waits[0]} ms`)
})

test('a request counts from its reading while the event loop is not busy, also after it was', async () => {
  const waits = await runWith(async open => {
    const socket = open()
    blockLoop()
    await waitFor(100)
    socket.write(REQUEST)
    await waitFor(100)
    open().write(REQUEST)
    await waitFor(100)
  })
  assert.is(waits.length, 2)
  assert.ok(waits.every(wait => wait < MAX_ERROR_MS), waits.join())
})

test('a caller that connects long before it sends loses no time', async () => {
  const waits = await runWith(async open => {
    const socket = open()
    await waitFor(600)
    socket.write(REQUEST)
    await waitFor(100)
  })
  assert.ok(waits.length === 1 && (waits[0] ?? Infinity) < MAX_ERROR_MS, waits.join())
})

test.run()
