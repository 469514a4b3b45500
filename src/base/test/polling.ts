/**
 * What tests of real sockets share: ports, and waiting for what comes in its own time.
 */
import { createServer } from 'node:net'

const POLL_MS = 10
/** Below the ports that Linux chooses itself, from 32,768 on: none of these goes to a connection or to port 0. */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000
/** Runs beside each other are processes whose numbers differ by little: each looks through ports of its own first. */
const PORTS_PER_PROCESS = 50

let lastPort = FIRST_PORT + (process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT)

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => {
    server.on('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (isListening) await new Promise(resolve => { server.close(resolve) })
  return isListening
}

/** A port at which nothing listens, never the same twice: an address must be known before its listener starts. */
export async function findFreePort (): Promise<number> {
  const port = lastPort < LAST_PORT ? lastPort + 1 : FIRST_PORT
  lastPort = port
  return await isFree(port) ? port : await findFreePort()
}

/** Whether something came true within a time. */
export async function waitUntil (isTrue: () => boolean, maxMs: number): Promise<boolean> {
  const until = performance.now() + maxMs
  while (!isTrue() && performance.now() < until) await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
  return isTrue()
}
