/**
 * The coordinators of all live nodes, and the coordinator chosen for each hall. Both are looked up for every request and
 * members rarely change, so they are cached until the list of live members changes.
 */
import { parseAddress } from '../base/common/address.ts'
import type { Member } from '../services/membership/common/membershipTable.ts'
import { chooseCoordinator } from '../services/preparation/common/coordinatorChoice.ts'
import type { CoordinatorCandidate } from '../services/preparation/common/coordinatorChoice.ts'

export interface CoordinatorDirectoryOptions {
  /** Returns the same array until a member changes. */
  readonly listLiveMembers: () => readonly Member[]
  /** The port on which coordinators listen on every host. */
  readonly port: number
}

export class CoordinatorDirectory {
  private readonly _options: CoordinatorDirectoryOptions
  private _liveMembers: readonly Member[] = []
  private _coordinators: readonly CoordinatorCandidate[] = []
  private readonly _byHall = new Map<string, string | undefined>()

  constructor (options: CoordinatorDirectoryOptions) {
    this._options = options
  }

  /** Returns the same array until a member changes. */
  listCoordinators (): readonly CoordinatorCandidate[] {
    const live = this._options.listLiveMembers()
    if (live === this._liveMembers) return this._coordinators
    this._liveMembers = live
    this._coordinators = live.map(({ address, hall, weight, incarnation, started = incarnation }) => ({ address: this.formatCoordinatorAddress(address), hall, weight, incarnation: started }))
    this._byHall.clear()
    return this._coordinators
  }

  /** Returns the address of a hall's coordinator. All nodes with the same list of members choose the same one. */
  findForHall (hall: string): string | undefined {
    const coordinators = this.listCoordinators()
    if (!this._byHall.has(hall)) this._byHall.set(hall, chooseCoordinator(coordinators, hall))
    return this._byHall.get(hall)
  }

  /** Returns the process at the address of a coordinator, by the incarnation with which it started; undefined if no live member has that address. */
  findIncarnation (coordinator: string): number | undefined {
    return this.listCoordinators().find(({ address }) => address === coordinator)?.incarnation
  }

  /** Returns the address of the live member whose coordinator has this address. */
  findMember (coordinator: string): string | undefined {
    return this._options.listLiveMembers().find(({ address }) => this.formatCoordinatorAddress(address) === coordinator)?.address
  }

  /** Returns the address of the coordinator on the host of a member. */
  formatCoordinatorAddress (member: string): string {
    return `${parseAddress(member)?.host ?? ''}:${this._options.port}`
  }
}
