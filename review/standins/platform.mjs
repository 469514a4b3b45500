// Stand-in for the platform: its store, which only the operator and the servers write, and the nodes of the system, which
// run with the command and the settings template of the deploy file.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, get } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

export const pause = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** A loopback network of its own for each run, so that fixed ports are free. */
export function pickNetwork () {
  const pick = () => 1 + Math.floor(Math.random() * 254)
  return `127.${64 + Math.floor(Math.random() * 128)}.${pick()}`
}

async function findFreePorts (host, count) {
  const servers = Array.from({ length: count }, () => createTcpServer())
  for (const server of servers) await new Promise((resolve, reject) => { server.once('error', reject).listen(0, host, resolve) })
  const ports = servers.map(server => server.address().port)
  for (const server of servers) await new Promise(resolve => { server.close(resolve) })
  return ports
}

/** The store of PROTOCOL.md, "The platform's metadata store": always up, with its whole history. */
export class Store {
  #items = new Map()
  #changes = []
  #revision = 0
  #waiting = new Set()

  async start (host) {
    this.server = createServer((request, response) => this.#answer(new URL(request.url, 'http://store'), response))
    await new Promise(resolve => { this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
  }

  set (key, value) {
    const data = Buffer.from(JSON.stringify(value)).toString('base64')
    const revision = ++this.#revision
    const item = { key, data, revision, created: this.#items.get(key)?.created ?? revision, lease_id: 0 }
    this.#items.set(key, item)
    this.#record(item)
  }

  remove (key) {
    this.#items.delete(key)
    this.#record({ key, revision: ++this.#revision, deleted: true })
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }

  #record (change) {
    this.#changes.push(change)
    for (const resume of [...this.#waiting]) resume()
  }

  #answer (url, response) {
    const query = name => url.searchParams.get(name) ?? ''
    if (url.pathname === '/-/kv-key') {
      const item = this.#items.get(query('key'))
      return item === undefined ? this.#send(response, 404, {}) : this.#send(response, 200, { ...item, timestamp: this.#revision })
    }
    if (url.pathname === '/-/kv-range') {
      const found = [...this.#items.values()].filter(({ key }) => key.startsWith(query('path_prefix')) && key > query('after_rev')).sort((a, b) => a.key < b.key ? -1 : 1)
      return this.#send(response, 200, { entries: found.slice(0, 500), has_more: found.length > 500, timestamp: this.#revision })
    }
    if (url.pathname === '/-/kv-watch') return this.#watch(query('path_prefix'), Number(query('after_rev')), Number(query('wait_ms')), response)
    return this.#send(response, 404, {})
  }

  #watch (prefix, after, waitMs, response) {
    const list = () => this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(onChange)
      this.#send(response, 200, { events: list(), timestamp: this.#revision })
    }
    const onChange = () => { if (list().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(waitMs, 30_000))
    this.#waiting.add(onChange)
    response.once('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(onChange)
    })
    onChange()
  }

  #send (response, status, body) {
    if (!response.writableEnded) response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
  }
}

/** Fills a settings template as DEPLOY.md, "Settings of a process", tells. */
function fillTemplate (template, fields) {
  const find = (name, entry) => {
    if (name === '.') return entry.value
    if (name === '@') return entry.key
    return name.split('.').reduce((value, part) => value?.[part], fields)
  }
  const fill = (text, entry) => text
    .replaceAll(/\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => {
      const value = find(name, entry)
      if (value === undefined || value === false) return ''
      if (typeof value !== 'object') return fill(inner, entry)
      return Object.entries(value).map(([key, item]) => fill(inner, { key, value: item })).join('')
    })
    .replaceAll(/\{\{([^}#/]+)\}\}/g, (_, gap) => {
      const [name, form] = gap.split('|')
      const value = find(name, entry)
      if (form === 'json') return JSON.stringify(value)
      return value === undefined ? '' : typeof value === 'object' ? JSON.stringify(value) : String(value)
    })
  return fill(template, { key: '', value: undefined })
}

/** The nodes of a small deployment, one process for each. */
export class Nodes {
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #isStopping = false
  list = []

  constructor ({ network, storeAddress, zones, bounds }) {
    Object.assign(this, { network, storeAddress, zones, bounds })
  }

  async start (count) {
    const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    const [, run] = /^run = "node (.*)"$/m.exec(deployFile)
    const [, templatePath] = /^template = "(.*)"$/m.exec(deployFile)
    const template = readFileSync(join(ROOT, templatePath), 'utf8')
    this.arguments = run.split(' ').filter(Boolean)
    for (let index = 0; index < count; index++) {
      const host = `${this.network}.${11 + index}`
      const [front, readiness, control, directory, first, last] = await findFreePorts(host, 6)
      this.list.push({ name: `node-${index + 1}`, host, zone: this.zones[index % this.zones.length], listen: { front: `${host}:${front}`, readiness: `${host}:${readiness}`, control: `${host}:${control}`, directory: `${host}:${directory}` }, portRange: [first, last] })
    }
    // "Ports are alike on all machines of a day": all nodes take the range of the first.
    for (const node of this.list) {
      node.file = join(this.#folder, `${node.name}.conf`)
      node.log = join(this.#folder, `${node.name}.log`)
      writeFileSync(node.file, fillTemplate(template, {
        node: node.name,
        zone: node.zone,
        region: 'region-a',
        zones: Object.fromEntries(this.zones.map(zone => [zone, 'region-a'])),
        listen: node.listen,
        port_range: this.list[0].portRange,
        seeds: this.list.slice(0, 3).map(({ listen }) => listen.control),
        limits: { cpu_share: 0.675, cores: 1 },
        bounds: this.bounds,
        platform: { addr: this.storeAddress }
      }))
      this.#spawn(node)
    }
    await Promise.all(this.list.map(node => this.#waitUntilReady(node)))
  }

  #spawn (node) {
    const child = spawn(process.execPath, this.arguments, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, PEPPERWOOD_NODE_FILE: node.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(node.log, { flags: 'a' })
    for (const output of [child.stdout, child.stderr]) output.pipe(log, { end: false })
    node.process = child
    // The platform starts an ended process again after a short delay.
    child.once('exit', () => { if (!this.#isStopping) setTimeout(() => { if (!this.#isStopping) this.#spawn(node) }, 1000) })
  }

  async #waitUntilReady (node) {
    for (let tries = 0; tries < 150; tries++) {
      const status = await new Promise(resolve => {
        get(`http://${node.listen.readiness}/-/ready`, { agent: false }, response => resolve(response.resume().statusCode)).on('error', () => resolve(0))
      })
      if (status === 200) return
      await pause(100)
    }
    throw new Error(`${node.name} is not ready`)
  }

  /** Lines of all nodes' logs with one of these events. */
  listLogLines (...events) {
    return this.list.flatMap(node => readFileSync(node.log, 'utf8').split('\n').filter(line => events.some(event => line.includes(`event=${event} `))).map(line => `${node.name} ${line}`))
  }

  async stop () {
    this.#isStopping = true
    await Promise.all(this.list.map(({ process: child }) => child === undefined || child.exitCode !== null || child.signalCode !== null ? undefined : new Promise(resolve => { child.once('exit', resolve).kill('SIGKILL') })))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else console.log(`logs: ${this.#folder}`)
  }
}
