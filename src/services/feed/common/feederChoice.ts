/**
 * Selects the feeders: the hosts that follow the source themselves and forward its changes. Every host computes the same result
 * from the same members; while their views of the members differ, some hosts follow the source unnecessarily.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'

export interface FeedMember {
  readonly address: string
  readonly hall: string
}

/** With fewer hosts, a feeder would have hardly any readers. */
export const MIN_HOSTS_FOR_FEEDERS = 6
/**
 * Each host reads from two feeders, so that the loss of one feeder or one hall has no effect, and a change that one receives
 * late arrives from the other.
 */
const FEEDERS_PER_READER = 2

/** Returns the highest ranked host of each hall as feeders, or the two highest if there is only one hall. */
export function listFeeders (members: readonly FeedMember[]): readonly FeedMember[] {
  if (members.length < MIN_HOSTS_FOR_FEEDERS) return members
  const halls = [...new Set(members.map(member => member.hall))]
  const count = Math.ceil(FEEDERS_PER_READER / halls.length)
  return halls.flatMap(hall => {
    const inHall = members.filter(member => member.hall === hall)
    const ranked = rankByRendezvous(`feed/${hall}`, inHall.map(member => member.address))
    return ranked.slice(0, count).map(address => ({ address, hall }))
  })
}

/** Returns the feeders that a host reads from, those of its own hall first; none if the host is a feeder itself. */
export function chooseFeeders (own: FeedMember, feeders: readonly FeedMember[]): readonly string[] {
  if (feeders.some(feeder => feeder.address === own.address)) return []
  const localFeeders = feeders.filter(feeder => feeder.hall === own.hall).map(feeder => feeder.address)
  const remoteFeeders = feeders.filter(feeder => feeder.hall !== own.hall).map(feeder => feeder.address)
  return [...localFeeders, ...rankByRendezvous(own.address, remoteFeeders)].slice(0, FEEDERS_PER_READER)
}
