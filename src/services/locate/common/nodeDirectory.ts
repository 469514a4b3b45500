/**
 * Which nodes callers are told to use. Callers choose among them by chance, so the list itself spreads the load.
 */
import { parseAddress } from '../../../base/common/address.ts'
import type { Member } from '../../membership/common/membershipTable.ts'
import type { GateView } from './locatePolicy.ts'

export interface NodeDirectoryInputs {
  readonly gates: readonly GateView[]
  readonly members: readonly Member[]
  /** Where the caller is. */
  readonly hall: string
  /** The answering node's own address, if it takes requests. */
  readonly own: string | undefined
  readonly maxKeepMs: number
}

export interface AddressAnswer {
  readonly addresses: readonly string[]
  readonly keepMs: number
}

/** Callers that keep an answer longer meet more nodes that have gone meanwhile; asking costs little. */
const KEEP_MS = 2000
const MAX_ADDRESSES = 64

/** Nodes that said last that they take requests, and that answer probes; the answering node's own view of itself goes first. */
export function listNodeAddresses (inputs: NodeDirectoryInputs): AddressAnswer {
  const { gates, members, own, maxKeepMs } = inputs
  const alive = new Set(members.filter(member => member.state === 'alive').map(member => getHost(member.address)))
  const usable = gates
    .filter(gate => gate.address !== own && gate.ready && !gate.draining && alive.has(getHost(gate.address)))
    .map(gate => gate.address)
  const addresses = own === undefined ? usable : [own, ...usable]
  return { addresses: addresses.slice(0, MAX_ADDRESSES), keepMs: Math.min(KEEP_MS, maxKeepMs) }
}

function getHost (address: string): string {
  return parseAddress(address)?.host ?? ''
}
