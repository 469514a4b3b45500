/**
 * Chooses the nodes that callers should use, by the callers' location and the home regions of the requested routes.
 */
import type { RelayTable } from '../services/relay/common/relayTable.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'
import type { IClock } from '../base/common/clock.ts'
import type { HallRegions } from '../services/locate/common/hallRegions.ts'
import { listNodeAddresses } from '../services/locate/common/nodeDirectory.ts'
import type { AddressAnswer, CallerLocation } from '../services/locate/common/nodeDirectory.ts'
import type { MembershipTable } from '../services/membership/common/membershipTable.ts'

export interface CallerDirectoryOptions {
  readonly clock: IClock
  readonly facts: FactStore
  readonly membership: MembershipTable
  readonly regions: HallRegions
  readonly hall: string
  readonly getTable: () => RelayTable | undefined
  /** The address at which callers reach this node; undefined while they should not use it. */
  readonly getOwnAddress: () => string | undefined
  readonly getMaxKeepMs: () => number
}

export class CallerDirectory {
  constructor (private readonly _options: CallerDirectoryOptions) {}

  /** Returns the addresses that callers should use and for how long; prefers nodes in the home regions of their host's routes. */
  locate ({ host, hall, region }: CallerLocation): AddressAnswer {
    const { clock, facts, membership, regions, hall: ownHall, getTable, getOwnAddress, getMaxKeepMs } = this._options
    const homeRegions = getTable()?.listHomeRegions(host) ?? []
    const now = clock.now()
    return listNodeAddresses({
      gates: facts.listByKind('gate').map(({ value, observedAt }) => ({ ...value, ageMs: now - observedAt })),
      members: membership.listMembers(),
      hall,
      ownAddress: getOwnAddress(),
      ownHall,
      isHome: homeRegions.length === 0 ? undefined : nodeHall => [region, ...homeRegions].includes(regions.findRegion(nodeHall) ?? ''),
      maxKeepMs: getMaxKeepMs()
    })
  }
}
