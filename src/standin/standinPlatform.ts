/**
 * The stand-in for the platform's configuration service: values that are read and watched by long poll.
 * It can go down, slow or stale.
 */
import type { ServerResponse } from 'node:http'

interface StoredValue {
  readonly revision: number
  readonly value: string
}

export interface PlatformFaults {
  readonly down: boolean
  /** Serves what was current when it went stale. */
  readonly stale: boolean
  readonly slow_ms: number
}

const MAX_WAIT_MS = 60_000

export class StandinPlatform {
  private readonly _values = new Map<string, StoredValue>()
  private _frozen: ReadonlyMap<string, StoredValue> | undefined
  private _revision = 0
  private _faults: PlatformFaults = { down: false, stale: false, slow_ms: 0 }
  private readonly _waiting = new Set<() => void>()
  private _calls = 0

  /** Calls so far; a waiting watch counts as one. */
  get calls (): number {
    return this._calls
  }

  publish (key: string, value: string): number {
    this._values.set(key, { revision: ++this._revision, value })
    for (const wake of [...this._waiting]) wake()
    return this._revision
  }

  setFaults (faults: PlatformFaults): void {
    if (faults.stale && !this._faults.stale) this._frozen = new Map(this._values)
    if (!faults.stale) this._frozen = undefined
    this._faults = faults
    for (const wake of [...this._waiting]) wake()
  }

  /** Answers a read, or a watch that waits for a revision above the given one. */
  async answer (key: string, after: number, waitMs: number, response: ServerResponse): Promise<void> {
    this._calls++
    const until = performance.now() + Math.min(MAX_WAIT_MS, waitMs)
    if (this._faults.slow_ms > 0) await new Promise(resolve => { setTimeout(resolve, this._faults.slow_ms) })
    while (true) {
      if (this._faults.down) {
        response.socket?.destroy()
        return
      }
      const found = (this._frozen ?? this._values).get(key)
      const leftMs = until - performance.now()
      if (found !== undefined && found.revision > after) return sendValue(response, key, found)
      if (leftMs <= 0 || response.destroyed) {
        response.writeHead(204).end()
        return
      }
      await this._waitForChange(leftMs)
    }
  }

  private _waitForChange (ms: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this._waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this._waiting.add(wake)
    })
  }
}

function sendValue (response: ServerResponse, key: string, found: StoredValue): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(JSON.stringify({ key, revision: found.revision, value: found.value }))
}
