/**
 * The stand-in for the platform's configuration service: values that are read, or watched by long polling.
 * It can be made unreachable, slow or stale.
 */
import type { ServerResponse } from 'node:http'

interface StoredValue {
  readonly revision: number
  readonly value: string
}

export interface PlatformFaults {
  readonly down: boolean
  /** Serves the values that were current when this fault was switched on. */
  readonly stale: boolean
  readonly slow_ms: number
}

const MAX_WAIT_MS = 60_000

export class StandinPlatform {
  private readonly _values = new Map<string, StoredValue>()
  private _staleValues: ReadonlyMap<string, StoredValue> | undefined
  private _revision = 0
  private _faults: PlatformFaults = { down: false, stale: false, slow_ms: 0 }
  private readonly _pendingWatches = new Set<() => void>()
  private _callCount = 0

  /** Number of calls received; a watch counts as one call for as long as it waits. */
  get callCount (): number {
    return this._callCount
  }

  publish (key: string, value: string): number {
    this._values.set(key, { revision: ++this._revision, value })
    for (const wake of [...this._pendingWatches]) wake()
    return this._revision
  }

  setFaults (faults: PlatformFaults): void {
    if (faults.stale && !this._faults.stale) this._staleValues = new Map(this._values)
    if (!faults.stale) this._staleValues = undefined
    this._faults = faults
    for (const wake of [...this._pendingWatches]) wake()
  }

  /** Answers a read, or a watch that waits up to `waitMs` for a revision above `afterRevision`; 204 if there is none by then. */
  async answer (key: string, afterRevision: number, waitMs: number, response: ServerResponse): Promise<void> {
    this._callCount++
    const deadlineAt = performance.now() + Math.min(MAX_WAIT_MS, waitMs)
    if (this._faults.slow_ms > 0) await new Promise(resolve => { setTimeout(resolve, this._faults.slow_ms) })
    while (true) {
      if (this._faults.down) {
        response.socket?.destroy()
        return
      }
      const stored = (this._staleValues ?? this._values).get(key)
      const remainingMs = deadlineAt - performance.now()
      if (stored !== undefined && stored.revision > afterRevision) return sendValue(response, key, stored)
      if (remainingMs <= 0 || response.destroyed) {
        response.writeHead(204).end()
        return
      }
      await this._waitForChange(remainingMs)
    }
  }

  private _waitForChange (timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this._pendingWatches.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, timeoutMs)
      this._pendingWatches.add(wake)
    })
  }
}

function sendValue (response: ServerResponse, key: string, stored: StoredValue): void {
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(JSON.stringify({ key, revision: stored.revision, value: stored.value }))
}
