/**
 * Reads what a stand-in counted, and switches its faults.
 */
import { request } from 'node:http'
import type { RunRecord } from '../standin/runLedger.ts'
import { parseAddress } from '../base/common/address.ts'

export interface StandinState {
  readonly platformCalls: number
  readonly upstreams: readonly { readonly name: string, readonly role: string, readonly kind: string, readonly busyMs: number }[]
}

/** Calls the control server of a stand-in. */
export class StandinControl {
  constructor (private readonly _address: string) {}

  async readRuns (): Promise<readonly RunRecord[]> {
    return (await this._call<{ readonly runs: readonly RunRecord[] }>('GET', '/v1/runs')).runs
  }

  async readState (): Promise<StandinState> {
    return await this._call<StandinState>('GET', '/v1/state')
  }

  /** Busy time by role, in milliseconds. */
  async readBusyByRole (): Promise<ReadonlyMap<string, number>> {
    const busy = new Map<string, number>()
    for (const upstream of (await this.readState()).upstreams) busy.set(upstream.role, (busy.get(upstream.role) ?? 0) + upstream.busyMs)
    return busy
  }

  async setFaults (name: string, faults: object): Promise<void> {
    await this._call('PUT', `/v1/faults/${name}`, faults)
  }

  async publish (key: string, value: unknown): Promise<void> {
    await this._call('PUT', `/v1/values/${key}`, value)
  }

  private _call<T> (method: string, path: string, body?: unknown): Promise<T> {
    const address = parseAddress(this._address)
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
