/**
 * Reads the counters of stand-ins and sets their faults over their control servers.
 */
import { request } from 'node:http'
import type { RunRecord } from '../standin/runLedger.ts'
import { parseAddress } from '../base/common/address.ts'

export interface PrefixCounts {
  readonly starts: number
  readonly hits: number
}

export interface StandinState {
  readonly platformCalls: number
  readonly upstreams: readonly { readonly name: string, readonly role: string, readonly kind: string, readonly busyMs: number, readonly callsAfterLeaving: number, readonly prefix: PrefixCounts }[]
}

/** Combines the control servers of all stand-in processes of a fleet. */
export class StandinControl {
  /** The first address also serves the platform. */
  constructor (private readonly _addresses: readonly string[]) {}

  async readRuns (): Promise<readonly RunRecord[]> {
    const answers = await Promise.all(this._addresses.map(address => this._call<{ readonly runs: readonly RunRecord[] }>(address, 'GET', '/v1/runs')))
    return answers.flatMap(answer => answer.runs)
  }

  /** Number of calls that the platform has answered since its start. */
  async readPlatformCalls (): Promise<number> {
    return (await this._call<StandinState>(this._addresses[0] ?? '', 'GET', '/v1/state')).platformCalls
  }

  /** Busy time by role, in milliseconds. */
  async readBusyByRole (): Promise<ReadonlyMap<string, number>> {
    const busy = new Map<string, number>()
    for (const upstream of await this._readUpstreams()) busy.set(upstream.role, (busy.get(upstream.role) ?? 0) + upstream.busyMs)
    return busy
  }

  /** Sums the counts of all engines since their start. */
  async readPrefixCounts (): Promise<PrefixCounts> {
    const upstreams = await this._readUpstreams()
    return upstreams.reduce((sum, { prefix }) => ({ starts: sum.starts + prefix.starts, hits: sum.hits + prefix.hits }), { starts: 0, hits: 0 })
  }

  /** Number of calls sent to upstreams more than two seconds after they announced that they were leaving. */
  async readCallsAfterLeaving (): Promise<number> {
    return (await this._readUpstreams()).reduce((sum, upstream) => sum + upstream.callsAfterLeaving, 0)
  }

  async setPlatformFaults (faults: object): Promise<void> {
    await this._call(this._addresses[0] ?? '', 'PUT', '/v1/faults/platform', faults)
  }

  /** Sets the faults of the upstream with the given name, or of all whose names start with the pattern if it ends in `*`. */
  async setFaults (pattern: string, faults: object): Promise<void> {
    await Promise.all(this._addresses.map(address => this._call(address, 'PUT', `/v1/faults/${pattern}`, faults)))
  }

  async publish (key: string, value: unknown): Promise<void> {
    await this._call(this._addresses[0] ?? '', 'PUT', `/v1/values/${key}`, value)
  }

  private async _readUpstreams (): Promise<StandinState['upstreams']> {
    const states = await Promise.all(this._addresses.map(address => this._call<StandinState>(address, 'GET', '/v1/state')))
    return states.flatMap(state => state.upstreams)
  }

  private _call<T> (addressText: string, method: string, path: string, body?: unknown): Promise<T> {
    const address = parseAddress(addressText)
    return new Promise((resolve, reject) => {
      const call = request({ host: address?.host, port: address?.port, method, path, agent: false }, response => {
        const chunks: Buffer[] = []
        response.on('data', (part: Buffer) => chunks.push(part))
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8')
          if (response.statusCode === 200) resolve(JSON.parse(text) as T)
          else reject(new Error(`the stand-in answered ${response.statusCode}: ${text}`))
        })
        response.on('error', reject)
      })
      call.on('error', reject)
      call.end(body === undefined ? undefined : JSON.stringify(body))
    })
  }
}
