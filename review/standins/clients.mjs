// A sound requester: one request on a new channel, read as HTTP/1.1 has it.
import { request } from 'node:http'

export const createId = () => Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')

/**
 * Resolves with what the requester saw. `isWhole` means that the answer ended as HTTP/1.1 ends one: with its length, its last
 * chunk, or, where it has neither, with an orderly end of its channel.
 */
export function send ({ address, host, path, method = 'POST', headers = {}, body = '', timeoutMs = 30_000, onBytes = () => {}, hasGivenUp = () => false }) {
  const startedAt = Date.now()
  return new Promise(resolve => {
    const seen = { status: 0, headers: {}, text: '', isWhole: false, end: '' }
    const finish = end => {
      clearTimeout(timer)
      clearInterval(patience)
      resolve({ ...seen, end, ms: Date.now() - startedAt })
      call.destroy()
    }
    const [ip, port] = address.split(':')
    const call = request({ host: ip, port, path, method, agent: false, headers: { Host: host, ...headers, ...method === 'POST' ? { 'Content-Length': String(Buffer.byteLength(body)) } : {} } })
    const timer = setTimeout(() => finish('requester left'), timeoutMs)
    const patience = setInterval(() => { if (hasGivenUp()) finish('requester gave the stream up') }, 50)
    call.on('error', error => finish(`channel failed: ${error.message}`))
    call.on('response', response => {
      Object.assign(seen, { status: response.statusCode, headers: response.headers })
      response.setEncoding('utf8')
      response.on('data', text => {
        seen.text += text
        onBytes(seen.text)
      })
      response.on('end', () => {
        seen.isWhole = response.complete
        finish(response.complete ? 'ended in order' : 'ended early')
      })
      response.on('error', error => finish(`answer broken off: ${error.message}`))
    })
    call.end(body)
  })
}

/** Asks a node's directory where to go, as PROTOCOL.md, "Ingress", tells. */
export async function resolve (directory, name, zone) {
  const { status, text } = await send({ address: directory, host: 'directory', path: `/-/resolve?name=${name}&region=region-a&zone=${zone}`, method: 'GET', timeoutMs: 1000 })
  return status === 200 ? JSON.parse(text).addrs : []
}
