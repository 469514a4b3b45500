/**
 * Asks peers one after the other to connect to an upstream.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { TunnelPeer } from '../common/tunnelPeers.ts'
import type { TunnelSocket, TunnelStart } from './tunnelSocket.ts'

/** The next peer is asked as well if one has not answered after this time. */
const PEER_STAGGER_MS = 40

export interface PeerQuery {
  readonly clock: IClock
  /** In the order in which they are asked. */
  readonly candidates: readonly TunnelPeer[]
  readonly open: (peer: TunnelPeer) => Promise<TunnelStart>
  readonly onDidAnswer: (peer: TunnelPeer, start: TunnelStart) => void
}

export interface OpenedTunnel {
  readonly peer: TunnelPeer
  readonly socket: TunnelSocket
}

/** Asks the next peer when one has refused or has not answered for a while; resolves with the first tunnel that is open. */
export function openFirst ({ clock, candidates, open, onDidAnswer }: PeerQuery): Promise<OpenedTunnel | undefined> {
  return new Promise(resolve => {
    let [asked, answered, isSettled] = [0, 0, false]
    const settle = (opened: OpenedTunnel | undefined) => {
      isSettled = true
      resolve(opened)
    }
    const askNext = () => {
      const peer = candidates[asked]
      if (isSettled || peer === undefined) return
      asked++
      const timer = clock.schedule(PEER_STAGGER_MS, askNext)
      void open(peer).then(start => {
        timer.dispose()
        answered++
        onDidAnswer(peer, start)
        if (start.kind === 'opened') return isSettled ? start.socket.destroy() : settle({ peer, socket: start.socket })
        askNext()
        if (answered === asked && !isSettled) settle(undefined)
      })
    }
    if (candidates.length === 0) settle(undefined)
    else askNext()
  })
}
