/**
 * The memory that all requests of a process may hold together. When it is used up, requests that were not sent to an upstream give
 * theirs back: those with the most bytes and without progress first.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { IDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { chooseHolderToEvict } from './memoryEviction.ts'
import type { MemoryHolder } from './memoryEviction.ts'

export interface MemoryBudgetOptions {
  readonly clock: IClock
  readonly maxBytes: number
}

/** A request gave back its memory, or got none. */
export interface MemoryShortage {
  readonly request: string
  /** What the request held. */
  readonly heldBytes: number
  /** Time since its last progress, in milliseconds. */
  readonly stalledMs: number
  /** What all requests held. */
  readonly usedBytes: number
}

export class MemoryBudget extends Disposable {
  private readonly _options: MemoryBudgetOptions
  private readonly _leases = new Set<MemoryLease>()
  private _usedBytes = 0
  private _shortageCount = 0
  private readonly _onDidRunShort = this._register(new Emitter<MemoryShortage>())
  /** Fires for each request that gave back its memory or got none. */
  readonly onDidRunShort = this._onDidRunShort.event

  constructor (options: MemoryBudgetOptions) {
    super()
    this._options = options
  }

  get usedBytes (): number {
    return this._usedBytes
  }

  /** Whether requests hold more than half of what they may. */
  get isUnderPressure (): boolean {
    return this._usedBytes > this._options.maxBytes / 2
  }

  /** Number of requests that gave back their memory or got none. */
  get shortageCount (): number {
    return this._shortageCount
  }

  /** Begins to count what a request holds. */
  open (request: string): MemoryLease {
    const lease: MemoryLease = new MemoryLease({
      request,
      clock: this._options.clock,
      reserve: bytes => this._reserve(lease, bytes),
      release: bytes => { this._usedBytes -= bytes },
      onDidDispose: () => { this._leases.delete(lease) }
    })
    this._leases.add(lease)
    return lease
  }

  private _reserve (lease: MemoryLease, bytes: number): boolean {
    // Evicting all other holders would not free enough.
    if (bytes > this._options.maxBytes) {
      this._recordShortage(lease)
      return false
    }
    while (this._usedBytes + bytes > this._options.maxBytes) {
      const holder = chooseHolderToEvict([...this._leases].filter(({ isEvictable }) => isEvictable), this._options.clock.now())
      this._recordShortage(holder ?? lease)
      if (holder === undefined || holder === lease) return false
      holder.evict()
    }
    this._usedBytes += bytes
    return true
  }

  private _recordShortage ({ request, heldBytes, progressAt }: MemoryLease): void {
    this._shortageCount++
    this._onDidRunShort.fire({ request, heldBytes, stalledMs: this._options.clock.now() - progressAt, usedBytes: this._usedBytes })
  }
}

export interface MemoryLeaseOptions {
  readonly request: string
  readonly clock: IClock
  readonly reserve: (bytes: number) => boolean
  readonly release: (bytes: number) => void
  readonly onDidDispose: () => void
}

/** What one request holds. */
export class MemoryLease implements MemoryHolder, IDisposable {
  /** The customer of the request, once it is known. */
  customer: string | undefined
  private readonly _options: MemoryLeaseOptions
  private _heldBytes = 0
  private _progressAt: number
  private _evict: (() => void) | undefined

  constructor (options: MemoryLeaseOptions) {
    this._options = options
    this._progressAt = options.clock.now()
  }

  get request (): string {
    return this._options.request
  }

  get heldBytes (): number {
    return this._heldBytes
  }

  get progressAt (): number {
    return this._progressAt
  }

  get isEvictable (): boolean {
    return this._evict !== undefined
  }

  /** Returns false if there is no memory, also none that other requests can give back. */
  reserve (bytes: number): boolean {
    if (!this._options.reserve(bytes)) return false
    this._heldBytes += bytes
    return true
  }

  release (bytes: number): void {
    const released = Math.min(bytes, this._heldBytes)
    this._heldBytes -= released
    this._options.release(released)
  }

  recordProgress (): void {
    this._progressAt = this._options.clock.now()
  }

  /** Sets what gives the memory back at once; undefined while the request has to keep it. */
  setEviction (evict: (() => void) | undefined): void {
    this._evict = evict
  }

  /** Gives the memory back. It counts as free at once, also where a connection has to close first. */
  evict (): void {
    const evict = this._evict
    this._evict = undefined
    if (evict === undefined) return
    evict()
    this.release(this._heldBytes)
  }

  dispose (): void {
    this._evict = undefined
    this.release(this._heldBytes)
    this._options.onDidDispose()
  }
}
