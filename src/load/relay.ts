/**
 * TCP relays that stand before the processes of a fleet: they know the hall a connection comes from by its IP number,
 * add the round trip between halls, and cut halls off from each other.
 */
import { createServer, connect } from 'node:net'
import type { Socket } from 'node:net'
import { parseAddress } from '../base/common/address.ts'
import { Disposable, toDisposable } from '../base/common/disposable.ts'
import type { RelayPlan } from './fleetPlan.ts'

export interface RelaySetOptions {
  readonly relays: readonly RelayPlan[]
  /** From IP number to hall; connections from other numbers come from callers. */
  readonly halls: ReadonlyMap<string, string>
  readonly hallRttMs: number
  readonly clientRttMs: number
}

/** Timers do not keep shorter delays. */
const MIN_DELAY_MS = 1
const CALLERS = 'callers'

export class RelaySet extends Disposable {
  private readonly _options: RelaySetOptions
  private readonly _cutHalls = new Set<string>()
  private readonly _pairs = new Set<RelayedPair>()

  constructor (options: RelaySetOptions) {
    super()
    this._options = options
  }

  async start (): Promise<void> {
    await Promise.all(this._options.relays.map(relay => this._listen(relay)))
  }

  /** Cuts a hall off from all others; callers still reach it. */
  cut (hall: string): void {
    this._cutHalls.add(hall)
    for (const pair of this._pairs) pair.update(this._isCut(pair.from, pair.to))
  }

  heal (hall: string): void {
    this._cutHalls.delete(hall)
    for (const pair of this._pairs) pair.update(this._isCut(pair.from, pair.to))
  }

  private _isCut (from: string, to: string): boolean {
    if (from === to || from === CALLERS) return false
    return this._cutHalls.has(from) || this._cutHalls.has(to)
  }

  private _listen (relay: RelayPlan): Promise<void> {
    const address = parseAddress(relay.address)
    const server = createServer(socket => this._accept(relay, socket))
    this._register(toDisposable(() => { server.close() }))
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(address?.port, address?.host, resolve)
    })
  }

  private _accept (relay: RelayPlan, socket: Socket): void {
    const from = this._options.halls.get(socket.remoteAddress ?? '') ?? CALLERS
    // A connection that would cross a cut is refused; one that was open before stalls until the cut heals.
    if (this._isCut(from, relay.hall)) {
      socket.resetAndDestroy()
      return
    }
    const rttMs = from === CALLERS ? this._options.clientRttMs : from === relay.hall ? 0 : this._options.hallRttMs
    const target = parseAddress(relay.target)
    const pair = this._register(new RelayedPair(from, relay.hall, socket, connect({ host: target?.host, port: target?.port ?? 0 }), rttMs / 2))
    this._pairs.add(pair)
    socket.once('close', () => {
      this._pairs.delete(pair)
      this._release(pair)
    })
  }
}

class RelayedPair {
  constructor (readonly from: string, readonly to: string, private readonly _near: Socket, private readonly _far: Socket, delayMs: number) {
    for (const socket of [_near, _far]) {
      socket.setNoDelay(true)
      socket.on('error', () => this.dispose())
      socket.on('close', () => this.dispose())
    }
    forward(_near, _far, delayMs)
    forward(_far, _near, delayMs)
  }

  /** Stalls the connection while it crosses a cut. */
  update (isCut: boolean): void {
    for (const socket of [this._near, this._far]) {
      if (isCut) socket.pause()
      else socket.resume()
    }
  }

  dispose (): void {
    this._near.destroy()
    this._far.destroy()
  }
}

function forward (source: Socket, target: Socket, delayMs: number): void {
  const send = (data: Buffer) => { if (!target.destroyed) target.write(data) }
  source.on('data', data => {
    if (delayMs < MIN_DELAY_MS) send(data)
    else setTimeout(send, delayMs, data)
  })
  source.on('end', () => {
    if (delayMs < MIN_DELAY_MS) target.end()
    else setTimeout(() => target.end(), delayMs)
  })
}
