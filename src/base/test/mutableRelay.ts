/**
 * A TCP relay on loopback whose connections can go silent, for tests of what is believed over them.
 */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Disposable, toDisposable } from '../common/disposable.ts'

/** The connections that are open when it stops forwarding stay open and say nothing more; new ones work. */
export class MutableRelay extends Disposable {
  private readonly _pairs = new Set<readonly Socket[]>()

  /** Resolves with its port. */
  listen (getTarget: () => number): Promise<number> {
    const server = createServer(near => {
      const far = connect(getTarget(), '127.0.0.1')
      const pair = [near, far] as const
      this._pairs.add(pair)
      for (const [socket, other] of [[near, far], [far, near]] as const) {
        socket.setNoDelay(true)
        socket.on('error', () => {})
        socket.on('data', data => { if (this._pairs.has(pair)) other.write(data) })
        socket.on('close', () => { if (this._pairs.has(pair)) other.destroy() })
      }
      this._register(toDisposable(() => { for (const socket of pair) socket.destroy() }))
    })
    this._register(toDisposable(() => { server.close() }))
    return new Promise(resolve => { server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port)) })
  }

  stopForwarding (): void {
    this._pairs.clear()
  }
}
