/**
 * A stand-in of the platform's store, after PROTOCOL.md: linearizable reads, ranges in pages, watches with a history, and stale
 * reads that are some seconds old.
 */
import { createServer } from 'node:http'

const PAGE_ITEMS = 500
const ANSWER_MS = 4

export class Store {
  /** `staleMs`: how old the answers to reads with `is_stale` are. */
  constructor ({ staleMs = 0 } = {}) {
    this._staleMs = staleMs
    this._items = new Map()
    this._changes = []
    this._revision = 0
    this._waiting = new Set()
    this._silent = new WeakSet()
    /** Written revisions with their times, for stale reads. */
    this._revisionTimes = [{ at: -Infinity, revision: 0 }]
    this.staleReads = []
  }

  listen (host, port) {
    this._server = createServer((request, response) => { setTimeout(() => this._answer(request, response), ANSWER_MS) })
    this._server.keepAliveTimeout = 60_000
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, host, () => resolve(`${host}:${this._server.address().port}`))
    })
  }

  close () {
    this._server?.close()
    this._server?.closeAllConnections()
  }

  get revision () {
    return this._revision
  }

  /** Writes a value; the change is acknowledged when this returns. */
  set (key, value) {
    const previous = this._items.get(key)
    const data = Buffer.from(JSON.stringify(value)).toString('base64')
    const item = { key, data, revision: ++this._revision, created: previous?.created ?? this._revision, lease_id: 0 }
    this._items.set(key, item)
    this._record(item)
  }

  remove (key) {
    if (!this._items.delete(key)) return
    this._record({ key, revision: ++this._revision, deleted: true })
  }

  /** Clients whose watches wait now. */
  listWatchers () {
    return [...this._waiting].map(({ client }) => client)
  }

  /** The channels on which watches wait go silent for good, without a reset; all other channels and new ones work. */
  silenceWatches () {
    const silenced = [...this._waiting].map(watch => watch.client)
    for (const watch of [...this._waiting]) {
      this._silent.add(watch.socket)
      this._waiting.delete(watch)
    }
    return silenced
  }

  _record (change) {
    this._changes.push(change)
    this._revisionTimes.push({ at: Date.now(), revision: this._revision })
    for (const watch of [...this._waiting]) this._completeWatch(watch)
  }

  _answer (request, response) {
    if (this._silent.has(request.socket) || request.socket.destroyed) return
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/-/kv-key') return this._answerKey(query, response)
    if (url.pathname === '/-/kv-range') return this._answerRange(query, request, response)
    if (url.pathname === '/-/kv-watch') return this._beginWatch(query, request, response)
    this._send(response, 404, {})
  }

  _answerKey (query, response) {
    const item = this._items.get(query.get('key'))
    if (item === undefined) this._send(response, 404, {})
    else this._send(response, 200, { ...item, timestamp: this._revision })
  }

  _answerRange (query, request, response) {
    const isStale = query.get('is_stale') === '1'
    const timestamp = isStale ? this._findStaleRevision() : this._revision
    if (isStale) this.staleReads.push({ at: Date.now(), client: request.socket.remoteAddress, told: timestamp, now: this._revision })
    const prefix = query.get('path_prefix') ?? ''
    const after = query.get('after_rev') ?? ''
    const all = [...this._items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    this._send(response, 200, { entries: all.slice(0, PAGE_ITEMS), has_more: all.length > PAGE_ITEMS, timestamp })
  }

  _findStaleRevision () {
    const seenAt = Date.now() - this._staleMs
    return this._revisionTimes.findLast(({ at }) => at <= seenAt).revision
  }

  _beginWatch (query, request, response) {
    const watch = {
      prefix: query.get('path_prefix') ?? '',
      after: Number(query.get('after_rev')),
      response,
      socket: request.socket,
      client: `${request.socket.remoteAddress}:${request.socket.remotePort}`
    }
    this._waiting.add(watch)
    const timer = setTimeout(() => this._completeWatch(watch, true), Number(query.get('wait_ms')))
    request.socket.once('close', () => {
      clearTimeout(timer)
      this._waiting.delete(watch)
    })
    this._completeWatch(watch)
  }

  _completeWatch (watch, isOver = false) {
    if (!this._waiting.has(watch)) return
    const events = this._changes.filter(({ key, revision }) => revision > watch.after && key.startsWith(watch.prefix))
    if (events.length === 0 && !isOver) return
    this._waiting.delete(watch)
    this._send(watch.response, 200, { events, timestamp: this._revision })
  }

  _send (response, status, body) {
    const text = JSON.stringify(body)
    if (!response.destroyed && !response.writableEnded) response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
  }
}
