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
  readonly ownHall?: string
  readonly maxKeepMs: number
  /** Whether callers should be led to nodes in a hall; left out where all halls will do. */
  readonly isHome?: (hall: string) => boolean
}

/** Where a caller is, and which host's routes it wants. */
export interface CallerPlace {
  readonly host: string
  readonly hall: string
  readonly region: string
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
  const { gates, members, own, ownHall = '', maxKeepMs, isHome = () => true } = inputs
  const alive = new Set(members.filter(member => member.state === 'alive').map(member => getHost(member.address)))
  const usable = gates
    .filter(gate => gate.address !== own && gate.ready && !gate.draining && alive.has(getHost(gate.address)))
  const named = [...own === undefined ? [] : [{ address: own, hall: ownHall }], ...usable]
  const homely = named.filter(({ hall }) => isHome(hall))
  // A caller that can be served nowhere near is still better off than one without an address.
  const addresses = (homely.length > 0 ? homely : named).map(({ address }) => address)
  return { addresses: addresses.slice(0, MAX_ADDRESSES), keepMs: Math.min(KEEP_MS, maxKeepMs) }
}

function getHost (address: string): string {
  return parseAddress(address)?.host ?? ''
}
