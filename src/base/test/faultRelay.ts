/**
 * A TCP relay on loopback that injects faults into the connections that go through it, for tests and the soak.
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from '../common/address.ts'
import { Disposable, toDisposable } from '../common/disposable.ts'

export class FaultRelay extends Disposable {
  private readonly _pairs = new Set<RelayedPair>()
  private _isCut = false
  private _delayMs = 0

  /** Resolves with its port; each connection goes on to the target of the moment. */
  listen (getTarget: () => Address, host = '127.0.0.1'): Promise<number> {
    const server = createServer(near => this._accept(near, getTarget()))
    this._register(toDisposable(() => { server.close() }))
    return new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, host, () => resolve((server.address() as AddressInfo).port))
    })
  }

  /** The connections that are open now stay open and say nothing more; new ones work. */
  stopForwarding (): void {
    for (const pair of this._pairs) pair.isSilent = true
  }

  /** Resets the connections that are open now. */
  cancelOpen (): void {
    for (const pair of this._pairs) pair.cancel()
  }

  /** Nothing gets through, and new connections hang, until healed; what was sent meanwhile is lost. */
  cut (): void {
    this._isCut = true
    this.stopForwarding()
  }

  heal (): void {
    this._isCut = false
  }

  /** Adds a delay to what comes from now on. */
  setDelay (delayMs: number): void {
    this._delayMs = delayMs
  }

  private _accept (near: Socket, target: Address): void {
    const pair = new RelayedPair(near, connect({ host: target.host, port: target.port }), () => this._delayMs)
    pair.isSilent = this._isCut
    this._pairs.add(pair)
    const release = this._register(toDisposable(() => pair.cancel()))
    near.once('close', () => {
      // The far side of a silent connection never hears of its end.
      if (pair.isSilent) return
      this._pairs.delete(pair)
      this._release(release)
    })
  }
}

class RelayedPair {
  isSilent = false

  constructor (private readonly _near: Socket, private readonly _far: Socket, getDelayMs: () => number) {
    for (const [socket, other] of [[_near, _far], [_far, _near]] as const) {
      socket.setNoDelay(true)
      socket.on('error', () => {})
      socket.on('data', data => this._forward(other, data, getDelayMs()))
      socket.on('close', () => this._forwardEnd(other, getDelayMs()))
    }
  }

  /** A socket that is being shut down cannot be reset any more: the process would wait for its end for ever. */
  cancel (): void {
    for (const socket of [this._near, this._far]) {
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    }
  }

  private _forward (target: Socket, data: Buffer, delayMs: number): void {
    const send = () => { if (!this.isSilent && !target.destroyed) target.write(data) }
    if (delayMs > 0) setTimeout(send, delayMs)
    else send()
  }

  private _forwardEnd (target: Socket, delayMs: number): void {
    const end = () => { if (!this.isSilent) target.destroySoon() }
    if (delayMs > 0) setTimeout(end, delayMs)
    else end()
  }
}
