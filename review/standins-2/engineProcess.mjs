/**
 * Starts and kills an engine that is a process of its own, and keeps its entry in the store as the engine would.
 */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { track } from './children.mjs'

const PROGRAM = new URL('streamEngine.mjs', import.meta.url).pathname
/** An entry goes after three check-ins of 1.2 s without a word. */
const LAPSE_MS = 3600

export class EngineProcess {
  constructor ({ name, host, zone, service, slots, eventCount, pauseMs, slowForMs = 0, slowByMs = 0, store, onDidTell }) {
    Object.assign(this, { name, host, zone, service, slots, eventCount, pauseMs, slowForMs, slowByMs, store, onDidTell })
    this._starts = 0
    this._port = 0
  }

  /** Each start is a new boot with a new id, at the same address. */
  async start () {
    const id = `i-${this.name}b${++this._starts}`
    this.id = id
    const child = track(spawn(process.execPath, [PROGRAM, id, this.host, this._port, this.slots, this.eventCount, this.pauseMs, this.slowForMs, this.slowByMs].map(String), { stdio: ['ignore', 'pipe', 'inherit'] }))
    this._child = child
    await new Promise((resolve, reject) => {
      child.once('error', reject)
      child.once('exit', () => reject(new Error(`engine ${id} ended`)))
      createInterface({ input: child.stdout }).on('line', line => {
        const told = JSON.parse(line)
        if (told.port === undefined) return this.onDidTell(told)
        this._port = told.port
        resolve()
      })
    })
    this.store.set(`servers/${id}`, { service: this.service, addr: `${this.host}:${this._port}`, zone: this.zone, version: '1', slots: this.slots, state: 'ready', cold_left_ms: this.slowForMs, seq: 1 })
  }

  crash () {
    const { id, store } = this
    this._child.kill('SIGKILL')
    setTimeout(() => store.remove(`servers/${id}`), LAPSE_MS)
  }

  close () {
    this._child?.kill('SIGKILL')
  }
}
