/**
 * Which hosts follow the source themselves and hand on what it says. Every host computes the same answer from the same
 * members; where views differ for a while, some follow the source without need.
 */
import { rankByRendezvous } from '../../../base/common/rendezvous.ts'

export interface FeedMember {
  readonly address: string
  readonly hall: string
}

/** With fewer hosts a feeder would serve hardly more than itself. */
export const MIN_FED_HOSTS = 6
/**
 * Each host listens to two feeders, so that the loss of one, or of one hall, is not noticed, and what one of them is late
 * to hear the other one tells.
 */
const FEEDERS_PER_READER = 2

/** The hosts that feed: the first of each hall, and where there is one hall only, the first two. */
export function listFeeders (members: readonly FeedMember[]): readonly FeedMember[] {
  if (members.length < MIN_FED_HOSTS) return members
  const halls = [...new Set(members.map(member => member.hall))]
  const count = Math.ceil(FEEDERS_PER_READER / halls.length)
  return halls.flatMap(hall => {
    const inHall = members.filter(member => member.hall === hall)
    const ranked = rankByRendezvous(`feed/${hall}`, inHall.map(member => member.address))
    return ranked.slice(0, count).map(address => ({ address, hall }))
  })
}

/** The feeders that a host listens to, that of its own hall first; none where the host feeds itself. */
export function chooseFeeders (own: FeedMember, feeders: readonly FeedMember[]): readonly string[] {
  if (feeders.some(feeder => feeder.address === own.address)) return []
  const near = feeders.filter(feeder => feeder.hall === own.hall).map(feeder => feeder.address)
  const far = feeders.filter(feeder => feeder.hall !== own.hall).map(feeder => feeder.address)
  return [...near, ...rankByRendezvous(own.address, far)].slice(0, FEEDERS_PER_READER)
}
