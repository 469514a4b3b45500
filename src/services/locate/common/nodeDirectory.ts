/**
 * Lists the nodes that callers should use. Callers choose from the list at random, which balances the load.
 */
import { parseAddress } from '../../../base/common/address.ts'
import type { Member } from '../../membership/common/membershipTable.ts'
import type { GateView } from './locatePolicy.ts'

export interface NodeDirectoryInputs {
  readonly gates: readonly GateView[]
  readonly members: readonly Member[]
  /** Hall of the caller. */
  readonly hall: string
  /** Address of the answering node; undefined if it does not accept requests. */
  readonly ownAddress: string | undefined
  readonly ownHall?: string
  readonly maxKeepMs: number
  /** Whether callers should be directed to nodes in the hall; omitted if all halls are allowed. */
  readonly isHome?: (hall: string) => boolean
}

/** Location of a caller, and the host whose routes it uses. */
export interface CallerLocation {
  readonly host: string
  readonly hall: string
  readonly region: string
}

export interface AddressAnswer {
  readonly addresses: readonly string[]
  readonly keepMs: number
}

/** Kept short because a query is cheap, and a longer cached answer would list more nodes that have left since. */
const KEEP_MS = 2000
const MAX_ADDRESSES = 64

/**
 * Lists the nodes that last reported that they accept requests and that answer probes. The answering node is listed first, from
 * its own state instead of a report.
 */
export function listNodeAddresses (inputs: NodeDirectoryInputs): AddressAnswer {
  const { gates, members, ownAddress: own, ownHall = '', maxKeepMs, isHome = () => true } = inputs
  const aliveHosts = new Set(members.filter(member => member.state === 'alive').map(member => getHost(member.address)))
  const usable = gates
    .filter(gate => gate.address !== own && gate.ready && !gate.draining && aliveHosts.has(getHost(gate.address)))
  const candidates = [...own === undefined ? [] : [{ address: own, hall: ownHall }], ...usable]
  const homeNodes = candidates.filter(({ hall }) => isHome(hall))
  // If no home hall has a usable node, nodes in other halls are better than an empty answer.
  const addresses = (homeNodes.length > 0 ? homeNodes : candidates).map(({ address }) => address)
  return { addresses: addresses.slice(0, MAX_ADDRESSES), keepMs: Math.min(KEEP_MS, maxKeepMs) }
}

function getHost (address: string): string {
  return parseAddress(address)?.host ?? ''
}
