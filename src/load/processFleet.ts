/**
 * Runs a fleet as separate processes on loopback. It stops only the processes that it has started.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, openSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stringify } from 'smol-toml'
import { waitFor } from '../base/node/interval.ts'
import { createOperatorClient } from '../services/rpc/node/rpcClients.ts'
import type { FleetPlan } from './fleetPlan.ts'
import type { LoadProfile } from './loadProfile.ts'
import type { RelayFile } from './relayCommand.ts'
import type { ScenarioStep } from './scenario.ts'
import { StandinControl } from './standinControl.ts'

const START_TIMEOUT_MS = 60_000
const STOP_TIMEOUT_MS = 8_000
const POLL_INTERVAL_MS = 100
const SIGNALS = { kill: 'SIGKILL', stop: 'SIGSTOP', continue: 'SIGCONT', terminate: 'SIGTERM' } as const

interface ManagedProcess {
  readonly program: string
  readonly args: readonly string[]
  readonly child: ChildProcess
}

export class ProcessFleet {
  readonly control: StandinControl
  private readonly _processes = new Map<string, ManagedProcess>()
  private readonly _programDirectory = dirname(fileURLToPath(import.meta.url))
  private _version = 1

  /** Settings files and logs are written to the directory. */
  constructor (private readonly _plan: FleetPlan, private readonly _profile: LoadProfile, private readonly _directory: string, private readonly _usesRelays: boolean, private readonly _gateCount = _plan.hosts.length) {
    this.control = new StandinControl(_plan.standins.map(standin => standin.listen))
    mkdirSync(_directory, { recursive: true })
  }

  /** Resolves when every gate is ready and has received that the other gates are ready. */
  async start (): Promise<void> {
    if (this._usesRelays) this._startRelays()
    this._plan.standins.forEach((settings, index) => this._startProgram(`standin-${index}`, 'pepperwood-standin', settings))
    await this._publish()
    this._plan.hosts.forEach((host, index) => {
      this._startProgram(`steward-${index}`, 'pepperwood-steward', host.steward)
      if (index < this._gateCount) this._startProgram(`gate-${index}`, 'pepperwood-gate', host.gate)
    })
    await Promise.all(this._plan.hosts.slice(0, this._gateCount).map(host => this._waitUntilReady(host.gate.listen ?? host.gate.address)))
  }

  async apply (step: ScenarioStep): Promise<void> {
    const { action, target, faults } = step
    if (action === 'faults') await this.control.setFaults(target, faults)
    else if (action === 'platform') await this.control.setPlatformFaults(faults)
    else if (action === 'cut' || action === 'heal') this._processes.get('relay')?.child.stdin?.write(`${action} ${target}\n`)
    else if (action === 'publish') await this.publishNext()
    else if (action === 'start') await this._replaceProcess(target)
    else this._processes.get(target)?.child.kill(SIGNALS[action])
  }

  /** Publishes the configuration under the next version. */
  async publishNext (): Promise<number> {
    this._version++
    await this._publish()
    return this._version
  }

  /** Kills the processes that this fleet has started. */
  async stop (): Promise<void> {
    const children = [...this._processes.values()].map(started => started.child)
    for (const child of children) if (child.exitCode === null) child.kill('SIGKILL')
    const until = performance.now() + STOP_TIMEOUT_MS
    while (children.some(child => child.exitCode === null && child.signalCode === null) && performance.now() < until) await waitFor(POLL_INTERVAL_MS)
  }

  private async _publish (): Promise<void> {
    const document: unknown = JSON.parse(this._plan.configurationText)
    const value = { ...document as object, version: this._version }
    const until = performance.now() + START_TIMEOUT_MS
    while (true) {
      try {
        return await this.control.publish('pepperwood/configuration', value)
      } catch (thrown) {
        if (performance.now() > until) throw thrown
        await waitFor(POLL_INTERVAL_MS)
      }
    }
  }

  private _startRelays (): void {
    const file: RelayFile = { relays: this._plan.relays, halls: [...this._plan.halls], hallRttMs: this._profile.hall_rtt_ms, clientRttMs: this._profile.client_rtt_ms }
    const path = join(this._directory, 'relays.json')
    writeFileSync(path, JSON.stringify(file))
    this._spawn('relay', 'pepperwood-load', ['relay', path])
  }

  private _startProgram (name: string, program: string, settings: object): void {
    const path = join(this._directory, `${name}.toml`)
    writeFileSync(path, stringify(JSON.parse(JSON.stringify(settings)) as Record<string, unknown>))
    this._spawn(name, program, ['--settings', path])
  }

  private _spawn (name: string, program: string, args: readonly string[]): void {
    const log = openSync(join(this._directory, `${name}.log`), 'a')
    const child = spawn(process.execPath, [join(this._programDirectory, `${program}.js`), ...args], { stdio: ['pipe', 'ignore', log] })
    this._processes.set(name, { program, args, child })
  }

  /** Starts a process again with the same settings once the previous one has exited, as the platform does for a replaced host. */
  private async _replaceProcess (name: string): Promise<void> {
    const started = this._processes.get(name)
    if (started === undefined) return
    const until = performance.now() + STOP_TIMEOUT_MS
    while (started.child.exitCode === null && started.child.signalCode === null && performance.now() < until) await waitFor(POLL_INTERVAL_MS)
    this._spawn(name, started.program, started.args)
  }

  private async _waitUntilReady (address: string): Promise<void> {
    const until = performance.now() + START_TIMEOUT_MS
    const client = createOperatorClient(address)
    while (performance.now() < until) {
      try {
        const state = JSON.parse((await client.dump({}, { timeoutMs: 2000 })).json) as { readonly ready: boolean, readonly facts: readonly { readonly value: { readonly kind: string, readonly ready?: boolean } }[] }
        const gates = state.facts.filter(fact => fact.value.kind === 'gate' && fact.value.ready === true)
        if (state.ready && gates.length === this._gateCount) return
      } catch {
        // The process is not listening yet.
      }
      await waitFor(POLL_INTERVAL_MS)
    }
    throw new Error(`${address} was not ready in time`)
  }
}
