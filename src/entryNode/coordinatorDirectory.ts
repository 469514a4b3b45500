/**
 * The coordinators of all live nodes, and the one that each hall has. Nodes ask with every request, and members rarely
 * change, so both are kept until they do.
 */
import { parseAddress } from '../base/common/address.ts'
import type { Member } from '../services/membership/common/membershipTable.ts'
import { chooseCoordinator } from '../services/preparation/common/coordinatorChoice.ts'
import type { CoordinatorCandidate } from '../services/preparation/common/coordinatorChoice.ts'

export interface CoordinatorDirectoryOptions {
  /** The same list until a member changes. */
  readonly listLive: () => readonly Member[]
  /** Coordinators listen on this port of each host. */
  readonly port: number
}

export class CoordinatorDirectory {
  private readonly _options: CoordinatorDirectoryOptions
  private _live: readonly Member[] = []
  private _coordinators: readonly CoordinatorCandidate[] = []
  private readonly _byHall = new Map<string, string | undefined>()

  constructor (options: CoordinatorDirectoryOptions) {
    this._options = options
  }

  /** The same list until a member changes. */
  list (): readonly CoordinatorCandidate[] {
    const live = this._options.listLive()
    if (live === this._live) return this._coordinators
    this._live = live
    this._coordinators = live.map(member => ({ ...member, address: this.formatAddress(member.address) }))
    this._byHall.clear()
    return this._coordinators
  }

  /** The address of the coordinator that all nodes with the same members choose for a hall. */
  find (hall: string): string | undefined {
    const coordinators = this.list()
    if (!this._byHall.has(hall)) this._byHall.set(hall, chooseCoordinator(coordinators, hall))
    return this._byHall.get(hall)
  }

  /** Where the coordinator of the member at an address is reached. */
  formatAddress (member: string): string {
    return `${parseAddress(member)?.host ?? ''}:${this._options.port}`
  }
}
