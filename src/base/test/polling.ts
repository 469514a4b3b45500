/**
 * What tests of real sockets share: ports, and waiting for what comes in its own time.
 */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

const POLL_MS = 10

/** A port that was free a moment ago: an address must be known before its listener starts. */
export async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return port
}

/** Whether something came true within a time. */
export async function waitUntil (isTrue: () => boolean, maxMs: number): Promise<boolean> {
  const until = performance.now() + maxMs
  while (!isTrue() && performance.now() < until) await new Promise(resolve => { setTimeout(resolve, POLL_MS) })
  return isTrue()
}
