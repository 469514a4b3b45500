// The frame of a case: a small deployment on loopback addresses, its record, and its verdict.
import { createWriteStream } from 'node:fs'
import { Nodes, Store, pause, pickNetwork } from './platform.mjs'
import { resolve } from './clients.mjs'

export const ZONES = ['hall-a', 'hall-b', 'hall-c']
const NODE_COUNT = 9
/** Bounds of bmsw-devlab on its sheet. */
const BOUNDS = { grace_s: 8, ttl_max_s: 5, budget_ratio: 0.2, budget_slack: 58, budget_window_s: 10 }
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
export const POOL_SERVICE = { name: 'pepperwood-pool', health_path: '/health', max_conns: 370, backend: { slots: 64, kv_capacity: 614_608, kv_token_bytes: 163_840, link_mbps: 1_100_000, session_ttl_s: 5, models: [{ name: 'm' }] } }
/** How long nodes have to find each other before there is traffic; on the sheet it is 12 s. */
const SETTLE_MS = 3000
/** A case that takes longer cannot run. */
const TIME_LIMIT_MS = 115_000

export class Deployment {
  #startedAt = Date.now()
  #network = pickNetwork()
  #servers = []

  constructor (folder) {
    this.hasTrouble = process.env.TROUBLE !== '0'
    this.output = createWriteStream(new URL('record.txt', folder))
  }

  record = text => { this.output.write(`${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}\n`) }

  /** Starts the store with its configuration, the servers and the nodes. */
  async start ({ routes, services, servers }) {
    this.store = new Store()
    await this.store.start(`${this.#network}.5`)
    this.store.set('op/config', { version: 7, routes, services, limits: LIMITS, tenants: [] })
    for (const server of servers) await this.addServer(server)
    this.nodes = new Nodes({ network: this.#network, storeAddress: this.store.address, zones: ZONES, bounds: BOUNDS })
    await this.nodes.start(NODE_COUNT)
    await pause(SETTLE_MS)
  }

  async addServer (server) {
    this.#servers.push(server)
    await server.start(`${this.#network}.${50 + this.#servers.length}`, this.store)
  }

  /** Asks a node for the addresses to use, until it names all nodes. */
  async findAddresses (host) {
    let addresses = []
    for (let tries = 0; tries < 40; tries++) {
      addresses = await resolve(this.nodes.list.at(-1).listen.directory, host, ZONES[0])
      if (addresses.length === NODE_COUNT) {
        this.record(`the directory names ${addresses.join(' ')}`)
        return addresses
      }
      await pause(250)
    }
    throw new Error(`only ${addresses.length} nodes are named`)
  }

  async stop () {
    await this.nodes?.stop()
    for (const server of this.#servers) server.stop()
    this.store?.stop()
    await new Promise(resolve => { this.output.end(resolve) })
  }
}

/** Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `play` resolves with whether it was broken. */
export async function runCase ({ rule, folder, play }) {
  const deployment = new Deployment(folder)
  const interrupted = new Promise((resolve, reject) => {
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => reject(new Error(`stopped by ${signal}`)))
    setTimeout(() => reject(new Error('the time is over')), TIME_LIMIT_MS).unref()
  })
  let code = 2
  try {
    code = await Promise.race([play(deployment), interrupted]) ? 1 : 0
    console.log(`${rule} ${code === 1 ? 'broken' : 'held'}`)
  } catch (error) {
    deployment.record(`could not run: ${error.stack}`)
    console.log(`could not run: ${error.message}`)
  }
  await deployment.stop()
  process.exit(code)
}
