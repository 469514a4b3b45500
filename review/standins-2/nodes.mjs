/**
 * Starts nodes of the system as the platform does: the command of the deploy file, and the settings from its template.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { track } from './children.mjs'

const ROOT = new URL('../../', import.meta.url).pathname
const RESTART_MS = 300

export class Nodes {
  constructor ({ folder, prefix, halls, storeAddress, bounds = {} }) {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    this._command = /^run = "(.+)"$/m.exec(deploy)[1].split(' ')
    this._template = readFileSync(join(ROOT, /^template = "(.+)"$/m.exec(deploy)[1]), 'utf8')
    this._folder = folder
    this._isClosing = false
    this.exits = []
    const zones = Object.fromEntries([...new Set(halls)].map(hall => [hall, 'jm-kingston']))
    const hosts = halls.map((_, index) => `${prefix}.${10 + index}`)
    this.nodes = halls.map((hall, index) => {
      const ip = hosts[index]
      const fields = {
        node: `front-${hall}-${index}`,
        class: 'front',
        ip,
        zone: hall,
        region: 'jm-kingston',
        zones,
        listen: { front: `${ip}:8625`, readiness: `${ip}:8621`, control: `${ip}:8628`, directory: `${ip}:8620` },
        port_range: [7740, 7755],
        seeds: hosts.slice(0, 3).map(host => `${host}:8628`),
        limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
        bounds: { grace_s: 8, ttl_max_s: 5, budget_ratio: 0.2, budget_slack: 58, budget_window_s: 10, ...bounds },
        platform: { addr: storeAddress }
      }
      const file = join(folder, `node-${index}.toml`)
      writeFileSync(file, renderTemplate(this._template, fields))
      return { index, ip, hall, file, front: fields.listen.front, readiness: fields.listen.readiness, directory: fields.listen.directory, isExpectedToEnd: false }
    })
  }

  startAll () {
    for (const node of this.nodes) this.start(node)
  }

  start (node) {
    const [program, ...words] = this._command
    const child = track(spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', PEPPERWOOD_NODE_FILE: node.file },
      stdio: ['ignore', 'pipe', 'pipe']
    }))
    const log = createWriteStream(join(this._folder, `node-${node.index}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    node.process = child
    node.startedAt = Date.now()
    node.isExpectedToEnd = false
    child.once('exit', (code, signal) => {
      this.exits.push({ at: Date.now(), node: node.index, code, signal, livedMs: Date.now() - node.startedAt, isExpected: node.isExpectedToEnd })
      if (!this._isClosing) setTimeout(() => { if (!this._isClosing) this.start(node) }, RESTART_MS)
    })
  }

  /** Sends a signal to a node's process. A process that ends is started again. */
  signal (node, name) {
    if (name === 'SIGKILL' || name === 'SIGTERM') node.isExpectedToEnd = true
    node.process.kill(name)
  }

  async close () {
    this._isClosing = true
    await Promise.all(this.nodes.map(({ process: child }) => new Promise(resolve => {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) return resolve()
      child.once('exit', resolve)
      child.kill('SIGKILL')
    })))
  }

  async isReady (node) {
    try {
      return (await fetch(`http://${node.readiness}/-/ready`, { signal: AbortSignal.timeout(500) })).status === 200
    } catch {
      return false
    }
  }

  async waitUntilReady (withinMs) {
    const until = Date.now() + withinMs
    while (Date.now() < until) {
      if ((await Promise.all(this.nodes.map(node => this.isReady(node)))).every(Boolean)) return true
      await new Promise(resolve => { setTimeout(resolve, 100) })
    }
    return false
  }
}

/** Fills in a template of settings as DEPLOY.md tells. */
export function renderTemplate (template, fields) {
  const sections = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
    const value = findField(fields, path)
    if (value === undefined || value === false) return ''
    if (value !== null && typeof value === 'object') return Object.entries(value).map(([key, entry]) => inner.replaceAll('{{@}}', key).replaceAll('{{.}}', String(entry))).join('')
    return renderTemplate(inner, fields)
  })
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = findField(fields, path)
    if (json !== undefined) return JSON.stringify(value)
    return value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value)
  })
}

function findField (fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields)
}
