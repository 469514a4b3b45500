/**
 * Symptom: once in a while a fleet of 24 members over real sockets did not start: "listen EADDRINUSE: address already
 * in use". One port had been given to two of its members, as each was free again by the time the next was looked for:
 * so it went in 45 of 1,000 fleets that only drew their ports.
 */
import { createServer } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findFreePort } from './polling.ts'

const test = suite('polling')

/** Enough for one port to come twice in nearly every run, where each is drawn anew from some 14,000. */
const DRAW_COUNT = 600
/** Where Linux begins to number the ports that it chooses itself, for outgoing connections and listeners on port 0. */
const FIRST_CHOSEN_PORT = 32_768

async function drawPorts (): Promise<readonly number[]> {
  const ports: number[] = []
  while (ports.length < DRAW_COUNT) ports.push(await findFreePort())
  return ports
}

test('no two listeners of a process are given the same port', async () => {
  const ports = await drawPorts()
  assert.is(new Set(ports).size, DRAW_COUNT)
})

test('ports that are looked for at the same time are different, too', async () => {
  const ports = await Promise.all(Array.from({ length: DRAW_COUNT }, findFreePort))
  assert.is(new Set(ports).size, DRAW_COUNT)
})

test('a port that is given is none that the system gives to others before its listener starts', async () => {
  const ports = await drawPorts()
  assert.equal(ports.filter(port => port < 1024 || port >= FIRST_CHOSEN_PORT), [])
})

test('a port at which something listens is passed over', async () => {
  const port = await findFreePort()
  const next = createServer()
  await new Promise<void>(resolve => { next.listen(port + 1, '127.0.0.1', resolve) })
  try {
    assert.is.not(await findFreePort(), port + 1)
  } finally {
    next.close()
  }
})

test.run()
