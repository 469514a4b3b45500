/**
 * Assigns duties to stewards without coordination: each steward computes the same assignment from the same members.
 * While their member lists differ, a duty may be done twice or late, which every duty here tolerates.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { Member } from './membershipTable.ts'

/** Number of stewards that watch one upstream. */
const UPSTREAM_WATCHERS = 2
/** Number of stewards that watch the platform in one hall. */
const PLATFORM_WATCHERS = 2

function isAmongFirst (key: string, address: string, members: readonly Member[], count: number): boolean {
  return rankByRendezvous(key, members.map(member => member.address)).slice(0, count).includes(address)
}

export function isUpstreamWatcher (upstream: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`watch/${upstream}`, address, live, UPSTREAM_WATCHERS)
}

export function isPlatformWatcher (hall: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`platform/${hall}`, address, live.filter(member => member.hall === hall), PLATFORM_WATCHERS)
}

/** A single steward issues the orders to all engines of a hall, so that it alone enforces the limit on model loads there. */
export function isOrderIssuer (hall: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`order/${hall}`, address, live, 1)
}
