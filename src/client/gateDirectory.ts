/**
 * Which gates to use: asks the system, and keeps the answer for as long as it says.
 */
import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { IClock } from '../base/common/clock.ts'
import { RequestService } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import { compareConfigurationNumbers, NO_CONFIGURATION } from '../services/configuration/common/configurationNumber.ts'

export type GateClient = Client<typeof RequestService>

export interface GateDirectoryOptions {
  /** Addresses to ask first. */
  readonly entries: readonly string[]
  readonly customer: string
  readonly clock: IClock
  readonly localAddress?: string
  readonly locateTimeoutMs?: number
}

/** A gate that could not be reached is left alone for so long. */
const AVOID_MS = 2000

export class GateDirectory {
  private readonly _options: GateDirectoryOptions
  private readonly _agent = new Agent({ keepAlive: true })
  private readonly _clients = new Map<string, GateClient>()
  private readonly _avoidUntil = new Map<string, number>()
  private _gates: readonly string[] = []
  private _keepUntil = -Infinity
  private _nextEntry = 0
  private _locating: Promise<void> | undefined
  private _seen: ConfigurationNumber = NO_CONFIGURATION

  constructor (options: GateDirectoryOptions) {
    this._options = options
  }

  /** The highest configuration that any answer named. */
  get seenConfiguration (): ConfigurationNumber {
    return this._seen
  }

  noteConfiguration (number: ConfigurationNumber | undefined): void {
    if (number !== undefined && compareConfigurationNumbers(number, this._seen) > 0) this._seen = { epoch: number.epoch, version: number.version }
  }

  getClient (address: string): GateClient {
    let client = this._clients.get(address)
    if (client === undefined) {
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: { agent: this._agent, localAddress: this._options.localAddress }
      })
      client = createClient(RequestService, transport)
      this._clients.set(address, client)
    }
    return client
  }

  /** Gates in the order in which they should be tried now. */
  async list (): Promise<readonly string[]> {
    const now = this._options.clock.now()
    if (now >= this._keepUntil) {
      this._locating ??= this._locate().finally(() => { this._locating = undefined })
      await this._locating
    }
    const known = this._gates.length > 0 ? this._gates : this._options.entries
    const isAvoided = (address: string) => (this._avoidUntil.get(address) ?? 0) > now
    return [...known.filter(address => !isAvoided(address)), ...known.filter(isAvoided)]
  }

  /** Takes in that a gate named others to use instead. */
  suggest (addresses: readonly string[]): void {
    if (addresses.length > 0) this._gates = addresses
  }

  /** Takes in that a gate could not be reached. */
  avoid (address: string): void {
    this._avoidUntil.set(address, this._options.clock.now() + AVOID_MS)
    if (this._gates[0] === address) this._keepUntil = -Infinity
  }

  dispose (): void {
    this._agent.destroy()
  }

  private async _locate (): Promise<void> {
    const { entries, customer, clock } = this._options
    const asked = [...new Set([...entries.slice(this._nextEntry), ...entries.slice(0, this._nextEntry), ...this._gates])]
    for (const address of asked) {
      if ((this._avoidUntil.get(address) ?? 0) > clock.now()) continue
      try {
        const answer = await this.getClient(address).locate({ customer, seenConfiguration: this._seen }, { timeoutMs: this._options.locateTimeoutMs ?? 500 })
        this.noteConfiguration(answer.configuration)
        if (answer.gates.length === 0) continue
        this._gates = answer.gates.map(gate => gate.address)
        this._keepUntil = clock.now() + (answer.gates[0]?.keepMs ?? 0)
        return
      } catch {
        this._avoidUntil.set(address, clock.now() + AVOID_MS)
        this._nextEntry = (entries.indexOf(address) + 1) % entries.length
      }
    }
  }
}
