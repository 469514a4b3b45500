// Some servers crash while they stream, and others fail part of their requests. Streams that may be resumed are taken up at
// other servers. Do their requesters get a final answer by the time of the route?
import { POOL_SERVICE, ZONES, runCase } from '../standins/case.mjs'
import { createId, send } from '../standins/clients.mjs'
import { pause } from '../standins/platform.mjs'
import { Server } from '../standins/servers.mjs'

const HOST = 'pule25.example'
const TIMEOUT_MS = 5000
const ROUTE = { name: 'r-digest', host: HOST, path_prefix: '/puxa400/', kind: 'stream', timeout_ms: TIMEOUT_MS, goal_ms: 1600, priority: 0, service: 'pepperwood-pool', attempts: 2, stages: [], public: true, sticky: true, resumable: true, gap_aim_ms: 200 }
const DEADLINE_MS = 8000
/** "A gap of two seconds, four times the objective or eight times that pause, whichever is longest." */
const GAP_MS = 6400
const SERVER_COUNT = 16
/**
 * The disruptions, twice: srv_crash of a share of 0.25, and srv_grey, how errors, of a share of 0.125 with 0.4 of their
 * requests for 2 s. Other servers start in the place of those that crashed.
 */
const INCIDENT_COUNT = 2
const INCIDENT_PERIOD_MS = 8000
const CRASHED_COUNT = 4
const RESTART_MS = 2000
const GREY_COUNT = 2
const GREY_SHARE = 0.4
/** An entry goes after three check-ins of silence. */
const ENTRY_LAPSE_MS = 3600
const EVENT_COUNT = 20
const EVENT_GAP_MS = 160
const STREAMS_PER_S = 220
/** Traffic before the disruptions, which the budget of retries counts. */
const BEFORE_S = 15
/** The rule's own bounds. */
const FINAL_ANSWER_MS = 500
const MIN_BREACHES = 8

class StreamServer extends Server {
  #sockets = new Set()
  #active = 0

  async start (host, store) {
    await super.start(host, store)
    this.server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
  }

  /** Its channels close, and its address refuses new ones. */
  crash () {
    this.record(`${this.id} crashes with ${this.#active} streams`)
    this.server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async answer (request, _body, response) {
    const { 'attempt-id': id, 'last-event-id': last = '0' } = request.headers
    if (this.isGrey === true && Math.random() < GREY_SHARE) {
      this.record(`${this.id} fails ${id} after event ${last}`)
      return response.writeHead(500, { 'Attempt-Id': id, 'Server-Seal': '3e1b.07.5a2.0.0.c9f2a4d1', 'Content-Length': '0' }).end()
    }
    this.#active++
    this.record(`${this.id} runs ${id} after event ${last}`)
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Attempt-Id': id, 'Server-Seal': '3e1b.07.5a2.600.0.c9f2a4d1' })
    for (let index = Number(last) + 1; index <= EVENT_COUNT && !request.socket.destroyed; index++) {
      response.write(`id: ${index}\ndata: piece ${index}\n\n`)
      await pause(EVENT_GAP_MS)
    }
    this.#active--
    response.end()
  }
}

async function sendStream ({ record }, address) {
  const id = createId()
  let lastBytesAt = Date.now()
  const seen = await send({
    address,
    host: HOST,
    path: '/puxa400/2f',
    headers: { 'Attempt-Id': id, Model: 'm', 'Token-Count': '1460,600', 'Prompt-Prefix': `${id.slice(8)}:1460`, 'Deadline-Ms': String(DEADLINE_MS) },
    body: 'x'.repeat(1400),
    timeoutMs: DEADLINE_MS,
    onBytes: () => { lastBytesAt = Date.now() },
    hasGivenUp: () => Date.now() - lastBytesAt > GAP_MS
  })
  record(`requester of ${id}: status ${seen.status}, ${seen.text.split('\n\n').length - 1} events, ${seen.end} after ${seen.ms} ms`)
  return { id, seen }
}

/** Lets some servers crash and others fail requests; resolves when the crashed ones have been replaced. */
async function playIncident (deployment, running, createServer) {
  const grey = running.slice(0, GREY_COUNT)
  for (const server of grey) server.isGrey = true
  for (const server of running.splice(-CRASHED_COUNT)) {
    server.crash()
    setTimeout(() => deployment.store.remove(`servers/${server.id}`), ENTRY_LAPSE_MS)
  }
  await pause(RESTART_MS)
  for (const server of grey) server.isGrey = false
  for (let count = 0; count < CRASHED_COUNT; count++) {
    const server = createServer()
    await deployment.addServer(server)
    running.unshift(server)
  }
}

async function play (deployment) {
  const { record, hasTrouble } = deployment
  let nextId = 0xb4158f5800
  const createServer = () => new StreamServer({ id: `i-${(nextId++).toString(16)}`, service: 'pepperwood-pool', zone: ZONES[nextId % ZONES.length], slots: 64, record })
  const running = Array.from({ length: SERVER_COUNT }, createServer)
  await deployment.start({ routes: [ROUTE], services: [POOL_SERVICE], servers: [...running] })
  const addresses = await deployment.findAddresses(HOST)
  const streams = []
  const timer = setInterval(() => { for (let count = 0; count < STREAMS_PER_S / 50; count++) streams.push(sendStream(deployment, addresses[streams.length % addresses.length])) }, 20)
  await pause(BEFORE_S * 1000)
  for (let count = 0; count < INCIDENT_COUNT; count++) {
    const end = pause(INCIDENT_PERIOD_MS)
    if (hasTrouble) await playIncident(deployment, running, createServer)
    await end
  }
  clearInterval(timer)
  const ended = await Promise.all(streams)

  const outlasting = ended.filter(({ seen }) => seen.ms > TIMEOUT_MS)
  const unanswered = outlasting.filter(({ seen }) => seen.ms > TIMEOUT_MS + FINAL_ANSWER_MS)
  const wholeCount = ended.filter(({ seen }) => seen.status === 200 && seen.isWhole).length
  for (const { id, seen } of unanswered) record(`CONFIG: ${id} had no final answer ${seen.ms} ms after it was sent`)
  record(`${ended.length} streams: ${wholeCount} whole, ${outlasting.length} unanswered at the route's timeout, ${unanswered.length} of them half a second later`)
  if (!hasTrouble && wholeCount < ended.length) throw new Error('a stream was not whole without the disruption')
  console.log(`of ${outlasting.length} requests that outlasted their route's time, ${unanswered.length} had no final answer half a second later`)
  return unanswered.length >= MIN_BREACHES && unanswered.length > outlasting.length / 4
}

await runCase({ rule: 'CONFIG', folder: import.meta.url, play })
