/**
 * Helpers of tests with real sockets: free ports, and polling for a condition.
 */
import { createServer } from 'node:net'

const POLL_MS = 10
/** Below the ephemeral ports of Linux, which start at 32,768, so the system assigns none of these to connections or to port 0. */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000
/** Concurrent test runs have similar process ids; with this distance each of them starts its search at ports of its own. */
const PORTS_PER_PROCESS = 50

let lastPort = FIRST_PORT + (process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT)

async function isPortFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => {
    server.on('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (isListening) await new Promise(resolve => { server.close(resolve) })
  return isListening
}

/** Returns a free port, never the same twice: tests need to know an address before its listener starts. */
export async function findFreePort (): Promise<number> {
  const port = lastPort < LAST_PORT ? lastPort + 1 : FIRST_PORT
  lastPort = port
  return await isPortFree(port) ? port : await findFreePort()
}

/** Polls a condition; returns whether it became true within the time. */
export async function waitUntil (isTrue: () => boolean, maxMs: number): Promise<boolean> {
  const deadline = performance.now() + maxMs
  while (!isTrue() && performance.now() < deadline) await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
  return isTrue()
}
