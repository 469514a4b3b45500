/**
 * A stand-in of an engine of a plain service, after PROTOCOL.md: it works on `slots` requests at once, queues a few more, refuses
 * requests that are meant for another engine, and keeps itself in the store.
 */
import { createServer } from 'node:http'

const QUEUE = 24

export class Engine {
  /** `onDidRun` is called for each request that starts to run, `onDidArrive` for each that arrives. */
  constructor ({ id, service, zone, slots = 6, workMs = 80, onDidArrive = () => {}, onDidRun = () => {}, onDidEnd = () => {} }) {
    Object.assign(this, { id, service, zone, slots, workMs, onDidArrive, onDidRun, onDidEnd })
    this._running = 0
    this._queue = []
    this._seq = 0
    this.state = 'ready'
  }

  listen (host) {
    this._server = createServer((request, response) => this._accept(request, response))
    this._server.keepAliveTimeout = 20_000
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(0, host, () => {
        this.address = `${host}:${this._server.address().port}`
        resolve()
      })
    })
  }

  register (store) {
    store.set(`servers/${this.id}`, { service: this.service, addr: this.address, zone: this.zone, version: '1', slots: this.slots, state: this.state, cold_left_ms: 0, seq: ++this._seq })
  }

  /** Ends the process of the engine: what runs there is cut. */
  end () {
    this.hasEnded = true
    this._server.close()
    this._server.closeAllConnections()
  }

  _accept (request, response) {
    const { headers } = request
    if (request.url === '/health') return this._send(response, 200, { 'Instance-Id': this.id }, '')
    const id = headers['attempt-id']
    const parts = []
    request.on('data', part => parts.push(part))
    request.on('end', () => this._handle({ request, response, id, body: Buffer.concat(parts) }))
    request.on('error', () => {})
    response.on('error', () => {})
  }

  _handle (work) {
    const { request: { headers }, response, id } = work
    const expected = headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return this._send(response, 421, { 'Not-Run': '1', ...id === undefined ? {} : { 'Attempt-Id': id } }, '')
    if (id === undefined) return this._send(response, 400, { 'Not-Run': '1' }, '')
    this.onDidArrive(this, work)
    if (this._running < this.slots) return this._run(work)
    if (this._queue.length >= QUEUE) return this._send(response, 503, { 'Not-Run': '1', 'Attempt-Id': id }, '')
    this._queue.push(work)
  }

  _run (work) {
    const { response, id } = work
    this._running++
    this.onDidRun(this, work)
    setTimeout(() => {
      this._running--
      const isCut = this.hasEnded === true || response.destroyed
      this.onDidEnd(this, work, isCut)
      if (!isCut) this._send(response, 200, { 'Attempt-Id': id, 'Server-Seal': `${this.id}.${id}` }, `${this.id} ran ${id}`)
      const next = this._queue.shift()
      if (next !== undefined && this.hasEnded !== true) this._run(next)
    }, this.workMs)
  }

  _send (response, status, headers, text) {
    if (!response.destroyed) response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(text) }).end(text)
  }
}
