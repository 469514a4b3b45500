/**
 * Reads what a stand-in counted, and switches its faults.
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

/** Calls the control servers of a fleet's stand-ins as if they were one. */
export class StandinControl {
  /** The first address is the platform's. */
  constructor (private readonly _addresses: readonly string[]) {}

  async readRuns (): Promise<readonly RunRecord[]> {
    const answers = await Promise.all(this._addresses.map(address => this._call<{ readonly runs: readonly RunRecord[] }>(address, 'GET', '/v1/runs')))
    return answers.flatMap(answer => answer.runs)
  }

  /** Calls that the platform has answered so far. */
  async readPlatformCalls (): Promise<number> {
    return (await this._call<StandinState>(this._addresses[0] ?? '', 'GET', '/v1/state')).platformCalls
  }

  /** Busy time by role, in milliseconds. */
  async readBusyByRole (): Promise<ReadonlyMap<string, number>> {
    const busy = new Map<string, number>()
    for (const upstream of await this._readUpstreams()) busy.set(upstream.role, (busy.get(upstream.role) ?? 0) + upstream.busyMs)
    return busy
  }

  /** Over all engines since they were started. */
  async readPrefixCounts (): Promise<PrefixCounts> {
    const upstreams = await this._readUpstreams()
    return upstreams.reduce((sum, { prefix }) => ({ starts: sum.starts + prefix.starts, hits: sum.hits + prefix.hits }), { starts: 0, hits: 0 })
  }

  /** Calls sent to upstreams more than two seconds after they had said that they were leaving. */
  async readCallsAfterLeaving (): Promise<number> {
    return (await this._readUpstreams()).reduce((sum, upstream) => sum + upstream.callsAfterLeaving, 0)
  }

  async setPlatformFaults (faults: object): Promise<void> {
    await this._call(this._addresses[0] ?? '', 'PUT', '/v1/faults/platform', faults)
  }

  /** Switches the faults of all upstreams whose name is given, or starts with it where it ends in `*`. */
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

  private _call<T> (at: string, method: string, path: string, body?: unknown): Promise<T> {
    const address = parseAddress(at)
    return new Promise((resolve, reject) => {
      const call = request({ host: address?.host, port: address?.port, method, path, agent: false }, response => {
        const parts: Buffer[] = []
        response.on('data', (part: Buffer) => parts.push(part))
        response.on('end', () => {
          const text = Buffer.concat(parts).toString('utf8')
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
