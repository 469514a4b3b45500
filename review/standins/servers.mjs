// Stand-ins for the servers of PROTOCOL.md ("Engines", "Stages"). Each serves one request at a time on a channel.
import { createServer } from 'node:http'

const readBody = async request => {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts)
}

export class Server {
  /** Work in progress on each channel. */
  #queues = new WeakMap()

  constructor ({ id, service, zone, slots, record }) {
    Object.assign(this, { id, service, zone, slots, record })
  }

  async start (host, store) {
    this.server = createServer({ keepAliveTimeout: 0 }, (request, response) => this.#enqueue(request, response))
    await new Promise(resolve => { this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
    store.set(`servers/${this.id}`, { service: this.service, addr: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_left_ms: 0, seq: 1 })
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }

  #enqueue (request, response) {
    const { socket } = request
    // A caller that leaves may reset its channel.
    response.on('error', () => {})
    const run = (this.#queues.get(socket) ?? Promise.resolve()).then(() => this.#answer(request, response)).catch(error => this.record(`${this.id} failed: ${error.message}`))
    this.#queues.set(socket, run.then(() => response.writableFinished || socket.destroyed ? undefined : new Promise(resolve => { response.once('finish', resolve).once('close', resolve) })))
  }

  async #answer (request, response) {
    const body = await readBody(request)
    const { headers } = request
    if (request.method === 'GET' && request.url === '/health') return response.writeHead(200, { 'Instance-Id': this.id }).end()
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) return response.writeHead(421, { 'Instance-Id': this.id }).end()
    await this.answer(request, body, response)
  }

  /** Refuses a request without running it. */
  refuse (response, status, headers = {}) {
    response.writeHead(status, { 'Not-Run': '1', 'Content-Length': '0', ...headers }).end()
  }
}

/** A server that makes pieces, and keeps the results until they are given up or their time is over. */
export class StageServer extends Server {
  #nextHandle = 1
  results = new Map()

  constructor (options) {
    super(options)
    this.work = options.work
    this.waiting = 0
    /** When the calls that arrived so far are done. */
    this.turn = Promise.resolve()
  }

  async answer (request, body, response) {
    if (request.url === '/-/stage-free') {
      for (const handle of JSON.parse(body).sessions) this.results.delete(handle)
      return response.writeHead(200, { 'Content-Length': '0' }).end()
    }
    if (request.url !== '/-/stage-run') return this.refuse(response, 400)
    if (this.waiting >= this.work.queue_depth + this.slots) return this.refuse(response, 503)
    this.beforeRun?.(request)
    this.waiting++
    const turn = this.turn.then(() => this.#make(JSON.parse(body).entries))
    this.turn = turn.catch(() => {})
    const entries = await turn
    this.waiting--
    const text = JSON.stringify({ entries })
    // "In their answers, engines send back `Attempt-Id`": calls for pieces may carry one.
    const id = request.headers['attempt-id']
    response.writeHead(200, { 'Content-Type': 'application/json', ...id === undefined ? {} : { 'Attempt-Id': id }, 'Content-Length': String(text.length) }).end(text)
    this.afterRun?.(request, { id, text })
  }

  async #make (pieces) {
    await new Promise(resolve => { setTimeout(resolve, this.work.call_ms + this.work.item_ms * pieces.length) })
    return pieces.map(piece => {
      const handle = `${this.address}/${(0xabc000 + this.#nextHandle++).toString(16)}`
      this.results.set(handle, { id: piece.id, stage: piece.stage, segment: piece.segment, key: piece.key })
      setTimeout(() => this.results.delete(handle), this.work.session_ttl_s * 1000).unref()
      this.record(`${this.id} made piece ${piece.stage}/${piece.segment} of ${piece.id} as ${handle}`)
      return { session: handle }
    })
  }
}
