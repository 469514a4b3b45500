/**
 * Determines which gates to use: asks a gate and caches the answer for the lifetime that it states.
 */
import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { IClock } from '../base/common/clock.ts'
import { STRICT_PARSING } from '../base/node/httpParsing.ts'
import { RequestService } from '../generated/pepperwood/v1/pepperwood_pb.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import { compareConfigurationNumbers, NO_CONFIGURATION } from '../services/configuration/common/configurationNumber.ts'

export type GateClient = Client<typeof RequestService>

export interface GateDirectoryOptions {
  /** Addresses of gates to ask first. */
  readonly entries: readonly string[]
  readonly customer: string
  readonly clock: IClock
  readonly localAddress?: string
  readonly locateTimeoutMs?: number
}

/** How long the client backs off from a gate that could not be reached. */
const UNREACHABLE_BACKOFF_MS = 2000

export class GateDirectory {
  private readonly _options: GateDirectoryOptions
  private readonly _agent = new Agent({ keepAlive: true })
  private readonly _clients = new Map<string, GateClient>()
  private readonly _backoffUntil = new Map<string, number>()
  private _gates: readonly string[] = []
  private _gatesValidUntil = -Infinity
  private _nextEntryIndex = 0
  private _pendingLocate: Promise<void> | undefined
  private _seenConfiguration: ConfigurationNumber = NO_CONFIGURATION

  constructor (options: GateDirectoryOptions) {
    this._options = options
  }

  /** The highest configuration number in any answer so far. */
  get seenConfiguration (): ConfigurationNumber {
    return this._seenConfiguration
  }

  recordConfiguration (number: ConfigurationNumber | undefined): void {
    if (number !== undefined && compareConfigurationNumbers(number, this._seenConfiguration) > 0) this._seenConfiguration = { epoch: number.epoch, version: number.version }
  }

  getClient (address: string): GateClient {
    let client = this._clients.get(address)
    if (client === undefined) {
      const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: { ...STRICT_PARSING, agent: this._agent, localAddress: this._options.localAddress }
      })
      client = createClient(RequestService, transport)
      this._clients.set(address, client)
    }
    return client
  }

  /** Returns the gates in the order in which they should be tried; those under backoff come last. */
  async list (): Promise<readonly string[]> {
    const now = this._options.clock.now()
    if (now >= this._gatesValidUntil) {
      this._pendingLocate ??= this._locate().finally(() => { this._pendingLocate = undefined })
      await this._pendingLocate
    }
    const candidates = this._gates.length > 0 ? this._gates : this._options.entries
    const isBackedOff = (address: string) => (this._backoffUntil.get(address) ?? 0) > now
    return [...candidates.filter(address => !isBackedOff(address)), ...candidates.filter(isBackedOff)]
  }

  /** Replaces the known gates by those that a gate recommended; an empty list is ignored. */
  updateGates (addresses: readonly string[]): void {
    if (addresses.length > 0) this._gates = addresses
  }

  /** Starts a backoff for the gate. If it was the preferred gate, the next call of `list` asks for gates again. */
  markUnreachable (address: string): void {
    this._backoffUntil.set(address, this._options.clock.now() + UNREACHABLE_BACKOFF_MS)
    if (this._gates[0] === address) this._gatesValidUntil = -Infinity
  }

  dispose (): void {
    this._agent.destroy()
  }

  private async _locate (): Promise<void> {
    const { entries, customer, clock } = this._options
    const candidates = [...new Set([...entries.slice(this._nextEntryIndex), ...entries.slice(0, this._nextEntryIndex), ...this._gates])]
    for (const address of candidates) {
      if ((this._backoffUntil.get(address) ?? 0) > clock.now()) continue
      try {
        const answer = await this.getClient(address).locate({ customer, seenConfiguration: this._seenConfiguration }, { timeoutMs: this._options.locateTimeoutMs ?? 500 })
        this.recordConfiguration(answer.configuration)
        if (answer.gates.length === 0) continue
        this._gates = answer.gates.map(gate => gate.address)
        this._gatesValidUntil = clock.now() + (answer.gates[0]?.keepMs ?? 0)
        return
      } catch {
        this._backoffUntil.set(address, clock.now() + UNREACHABLE_BACKOFF_MS)
        this._nextEntryIndex = (entries.indexOf(address) + 1) % entries.length
      }
    }
  }
}
