/**
 * A stand-in of a requester, after PROTOCOL.md: one try of a request with its own id, on a new channel.
 */
import { randomBytes } from 'node:crypto'
import { request } from 'node:http'

/** Resolves with what the requester saw; status 0 is a channel that ended without a whole answer. */
export function send ({ address, host, path, method = 'POST', deadlineMs, key, headers = {}, body = '', agent = false, localAddress }) {
  const id = randomBytes(8).toString('hex')
  const sentAt = Date.now()
  return new Promise(resolve => {
    const [ip, port] = address.split(':')
    const settle = answer => {
      clearTimeout(timer)
      resolve({ id, sentAt, endedAt: Date.now(), ...answer })
    }
    const call = request({
      host: ip,
      port: Number(port),
      path,
      method,
      agent,
      localAddress,
      headers: { Host: host, 'Attempt-Id': id, 'Deadline-Ms': String(deadlineMs), ...key === undefined ? {} : { Authorization: `Bearer ${key}` }, 'Content-Length': Buffer.byteLength(body), ...headers }
    })
    const timer = setTimeout(() => {
      settle({ status: 0, reason: 'gave up' })
      call.destroy()
    }, deadlineMs + 500)
    call.on('response', response => {
      const parts = []
      response.on('data', part => parts.push(part))
      response.on('error', () => {})
      response.on('close', () => {
        const isWhole = response.complete
        settle({ status: isWhole ? response.statusCode : 0, reason: isWhole ? '' : 'cut', seal: response.headers['server-seal'], body: Buffer.concat(parts).toString(), headers: response.headers })
      })
    })
    call.on('error', error => settle({ status: 0, reason: error.code ?? error.message }))
    call.end(body)
  })
}
