/**
 * Who does what among the stewards, without any agreement: each computes the same answer from the same members,
 * and where views differ for a while, a duty is done twice or late, which all duties here allow.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'
import type { Member } from './membershipTable.ts'

/** Watchers of one upstream. */
const UPSTREAM_WATCHERS = 2
/** Watchers of the platform in one hall. */
const PLATFORM_WATCHERS = 2

function isAmongFirst (key: string, address: string, members: readonly Member[], count: number): boolean {
  return rankByRendezvous(key, members.map(member => member.address)).slice(0, count).includes(address)
}

export function watchesUpstream (upstream: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`watch/${upstream}`, address, live, UPSTREAM_WATCHERS)
}

export function watchesPlatform (hall: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`platform/${hall}`, address, live.filter(member => member.hall === hall), PLATFORM_WATCHERS)
}

/** One steward orders all engines of a hall, so that it alone keeps the limit on loads in that hall. */
export function ordersHall (hall: string, address: string, live: readonly Member[]): boolean {
  return isAmongFirst(`order/${hall}`, address, live, 1)
}
