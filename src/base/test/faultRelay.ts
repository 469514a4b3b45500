/**
 * A TCP relay on loopback that injects faults into the relayed connections, for tests and the soak test.
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from '../common/address.ts'
import { Disposable, toDisposable } from '../common/disposable.ts'
import type { IDisposable } from '../common/disposable.ts'

/** Changes what a connection carries. */
export abstract class ConnectionFilter {
  /** Called with bytes from the caller; false keeps them from the target. */
  abstract handleRequest (data: Buffer, caller: Socket): boolean
  /** Called with bytes from the target that have been forwarded to the caller. */
  abstract handleAnswer (data: Buffer, caller: Socket): void
}

export interface FaultRelayOptions {
  /** Creates the filter of a new connection. */
  readonly createFilter?: () => ConnectionFilter
}

export class FaultRelay extends Disposable {
  private readonly _pairs = new Set<RelayedPair>()
  private _isBlocked = false
  private _delayMs = 0
  private _holdCount = 0
  private _listener: IDisposable | undefined

  constructor (private readonly _options: FaultRelayOptions = {}) {
    super()
  }

  /** Resolves with the port; each new connection is forwarded to the target that is current when it arrives. */
  listen (getTarget: () => Address, host = '127.0.0.1', port = 0): Promise<number> {
    const server = createServer(callerSocket => this._accept(callerSocket, getTarget()))
    this._listener = this._register(toDisposable(() => { server.close() }))
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, () => resolve((server.address() as AddressInfo).port))
    })
  }

  /** Keeps the current connections open but discards their data; new connections are forwarded. */
  stopForwarding (): void {
    for (const pair of this._pairs) pair.isForwardingStopped = true
  }

  /** Resets the current connections. */
  resetConnections (): void {
    for (const pair of this._pairs) pair.resetSockets()
  }

  /** Discards all data, also of new connections. Once traffic is restored, only connections opened from then on are forwarded. */
  blockTraffic (): void {
    this._isBlocked = true
    this.stopForwarding()
  }

  /** Refuses new connections. */
  stopListening (): void {
    this._listener?.dispose()
  }

  restoreTraffic (): void {
    this._isBlocked = false
  }

  /** Keeps all data until `releaseTraffic`. What a caller sent is lost if it resets its connection meanwhile. */
  delayTraffic (): void {
    this._holdCount++
  }

  releaseTraffic (): void {
    if (--this._holdCount > 0) return
    for (const pair of this._pairs) pair.releaseHeld()
  }

  /** Delays all data received from now on. */
  setDelay (delayMs: number): void {
    this._delayMs = delayMs
  }

  private _accept (callerSocket: Socket, target: Address): void {
    const pair = new RelayedPair(callerSocket, connect({ host: target.host, port: target.port }), { getDelayMs: () => this._delayMs, isHeld: () => this._holdCount > 0, filter: this._options.createFilter?.() })
    pair.isForwardingStopped = this._isBlocked
    this._pairs.add(pair)
    const release = this._register(toDisposable(() => pair.resetSockets()))
    callerSocket.once('close', () => {
      // The end of a connection that is not forwarded is not reported to the target.
      if (pair.isForwardingStopped || pair.isHolding) return
      this._pairs.delete(pair)
      this._release(release)
    })
  }
}

interface RelayedPairOptions {
  readonly getDelayMs: () => number
  /** Whether data is kept. */
  readonly isHeld: () => boolean
  readonly filter: ConnectionFilter | undefined
}

class RelayedPair {
  isForwardingStopped = false
  private readonly _isHeld: () => boolean
  private _held: ReadonlyArray<() => void> = []

  constructor (private readonly _callerSocket: Socket, private readonly _targetSocket: Socket, { getDelayMs, isHeld, filter }: RelayedPairOptions) {
    this._isHeld = isHeld
    for (const [socket, other] of [[_callerSocket, _targetSocket], [_targetSocket, _callerSocket]] as const) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('data', data => {
        if (socket === _callerSocket && filter?.handleRequest(data, _callerSocket) === false) return
        this._forward(other, data, getDelayMs())
        if (socket === _targetSocket) filter?.handleAnswer(data, _callerSocket)
      })
      socket.on('close', hasFailed => {
        if (hasFailed && socket === _callerSocket) this._held = []
        this._forwardEnd(other, getDelayMs())
      })
    }
  }

  get isHolding (): boolean {
    return this._held.length > 0
  }

  releaseHeld (): void {
    const held = this._held
    this._held = []
    for (const send of held) send()
  }

  /** A socket that has already been ended cannot be reset: the process would wait forever for it to close. */
  resetSockets (): void {
    for (const socket of [this._callerSocket, this._targetSocket]) {
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    }
  }

  private _forward (target: Socket, data: Buffer, delayMs: number): void {
    this._schedule(() => { if (!this.isForwardingStopped && !target.destroyed) target.write(data) }, delayMs)
  }

  private _forwardEnd (target: Socket, delayMs: number): void {
    this._schedule(() => { if (!this.isForwardingStopped) target.destroySoon() }, delayMs)
  }

  private _schedule (send: () => void, delayMs: number): void {
    if (this._isHeld()) this._held = [...this._held, send]
    else if (delayMs > 0) setTimeout(send, delayMs)
    else send()
  }
}
