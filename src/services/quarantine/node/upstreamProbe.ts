/**
 * Probes an upstream after a lost connection, to distinguish a crash from a network failure.
 */
import { connect } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'

/** Refused: no process listens at the address any more. Silent: neither the upstream nor its host answers. */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

/** A running upstream accepts a connection within this time. Beyond it, a crash and a broken link cannot be distinguished. */
const PROBE_TIMEOUT_MS = 200

/**
 * For how long a killed process may still accept connections after one of its own has ended: the system closes its sockets one by
 * one, and the listening one not first.
 */
export const MAX_EXIT_MS = 100

export function probeUpstream (address: string): Promise<ProbeResult> {
  const target = parseAddress(address)
  if (target === undefined) return Promise.resolve('silent')
  return new Promise(resolve => {
    const socket = connect({ host: target.host, port: target.port })
    const finish = (result: ProbeResult) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => finish('silent'), PROBE_TIMEOUT_MS)
    socket.once('connect', () => finish('accepted'))
    socket.once('error', error => finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
