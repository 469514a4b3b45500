/**
 * Passes the reservations that this node has issued to the coordinator of their hall's plan, whenever that plan is
 * found where they are not known yet, and tells the plans that are asked before it to leave the callers' returns to it.
 */
import type { IClock } from '../../../base/common/clock.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { JobEnd } from '../common/plannedCall.ts'
import { countPiecesByRole } from '../common/preparationJob.ts'
import type { ReturnNotice } from '../common/preparationJob.ts'
import { IssuedReservations } from '../common/issuedReservations.ts'
import type { CoordinatorLink } from './coordinatorLink.ts'
import type { CoordinatorLinks } from './coordinatorLinks.ts'
import type { OwnedJob } from './ownedJob.ts'
import type { PreparationCoordinator } from './preparationCoordinator.ts'

export interface ReservationTransferOptions {
  readonly clock: IClock
  readonly log: ILogService
  /** This node's own coordinator, and its address. */
  readonly coordinator: PreparationCoordinator
  readonly address: string
  readonly links: CoordinatorLinks
  readonly findCoordinator: (hall: string) => string
  /** The plans of a job, in the order in which they are tried; the same for all tries of a caller. */
  readonly listPlans: (ownedJob: OwnedJob) => readonly string[]
  /** Called before this node's own coordinator adopts reservations, which may start a plan. */
  readonly onWillAdopt: (hall: string) => void
}

/**
 * A plan is identified by the link to its coordinator, or by this node's own coordinator. Reservations are thus sent again
 * after a link was replaced: the message may have been lost with it, and a plan ignores what it has already.
 */
export class ReservationTransfer {
  private readonly _options: ReservationTransferOptions
  private readonly _issued = new IssuedReservations()

  constructor (options: ReservationTransferOptions) {
    this._options = options
  }

  /** Records the reservation that a refusal states, or that the job no longer needs the one that it had. */
  recordEnd (ownedJob: OwnedJob, update: JobEnd): void {
    const { job, link, search } = ownedJob
    if (job.returnKey === undefined) return
    this._issued.remove(job.returnKey)
    const hall = search.currentChoice?.hall
    if (hall === undefined || update.kind !== 'refused' || update.refusal.isReserved !== true) return
    const notice = { key: job.returnKey, returnInMs: update.refusal.retryAfterMs }
    this._issued.add({ ...notice, pieces: countPiecesByRole(job) }, { hall, holder: link ?? this._options.coordinator }, this._options.clock.now())
    for (const earlierHall of search.listEarlierPlans(this._options.listPlans(ownedJob))) this._sendNotice(earlierHall, notice)
  }

  /** Sends a notice if the coordinator of the hall is this node or has an open link, as it has if it declined the job. */
  private _sendNotice (hall: string, notice: ReturnNotice): void {
    const { address, coordinator, links, findCoordinator } = this._options
    const coordinatorAddress = findCoordinator(hall)
    if (coordinatorAddress === address) coordinator.addReturnNotice(hall, notice)
    else links.findOpen(coordinatorAddress)?.send({ kind: 'returnNotice', hall, ...notice })
  }

  /** The coordinator gave up its plan of the hall, together with the reservations. */
  recordMoved (hall: string, link: CoordinatorLink | undefined): void {
    this._issued.forgetHolder({ hall, holder: link ?? this._options.coordinator })
  }

  /** Passes on what the coordinator of a hall does not know; without a link, that is this node's own one. */
  send (hall: string, link: CoordinatorLink | undefined): void {
    const { clock, log, coordinator, address, onWillAdopt } = this._options
    if (link === undefined && !coordinator.hasPlan(hall)) this.recordMoved(hall, undefined)
    const entries = this._issued.take({ hall, holder: link ?? coordinator }, clock.now())
    if (entries.length === 0) return
    log.info('reservations_sent', { hall, coordinator: link?.address ?? address, reservations: entries.length })
    if (link !== undefined) return link.send({ kind: 'reservations', hall, entries })
    onWillAdopt(hall)
    coordinator.adoptReservations(hall, entries)
  }

  /** Passes on the reservations of all halls whose coordinator is this node or has an open link; no link is opened for them. */
  sendAll (): void {
    const { address, links, findCoordinator } = this._options
    for (const hall of this._issued.listHalls()) {
      const coordinatorAddress = findCoordinator(hall)
      const link = links.findOpen(coordinatorAddress)
      if (coordinatorAddress === address || link !== undefined) this.send(hall, link)
    }
  }
}
