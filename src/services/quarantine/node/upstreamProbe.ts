/**
 * Tells an upstream that has ended from a connection that was lost on its way.
 */
import { connect } from 'node:net'
import { parseAddress } from '../../../base/common/address.ts'

/** Refused: nothing listens there any more. Silent: neither the upstream nor its host answers. */
export type ProbeResult = 'accepted' | 'refused' | 'silent'

/** An upstream that is there accepts a connection within this; one behind a broken link says nothing either way. */
const PROBE_TIMEOUT_MS = 200

export function probeUpstream (address: string): Promise<ProbeResult> {
  const target = parseAddress(address)
  if (target === undefined) return Promise.resolve('silent')
  return new Promise(resolve => {
    const socket = connect({ host: target.host, port: target.port })
    const settle = (result: ProbeResult) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => settle('silent'), PROBE_TIMEOUT_MS)
    socket.once('connect', () => settle('accepted'))
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
