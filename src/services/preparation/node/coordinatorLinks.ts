/**
 * A node's links to the coordinators of other nodes, one for each coordinator, opened on first use.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { CoordinatorLink } from './coordinatorLink.ts'
import type { CoordinatorLinkOptions } from './coordinatorLink.ts'

export interface CoordinatorLinksOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly localAddress?: string
  /** Opens a link to a coordinator; resolves with undefined if it cannot be reached in time. */
  readonly openLink?: (options: CoordinatorLinkOptions) => Promise<CoordinatorLink | undefined>
  /** Returns the incarnation of the process that is known at an address; without it, links to any process are accepted. */
  readonly findIncarnation?: (address: string) => number | undefined
}

/** A coordinator that could not be reached, or whose link was closed. */
export interface LostCoordinator {
  readonly address: string
  /** The process that the link was meant for; undefined if it was not known. */
  readonly incarnation: number | undefined
  /** Undefined if no link could be opened. */
  readonly link: CoordinatorLink | undefined
}

/** A process at the address of a coordinator that started after the known one. */
export interface RestartedCoordinator {
  readonly address: string
  readonly incarnation: number
}

export class CoordinatorLinks extends Disposable {
  private readonly _options: CoordinatorLinksOptions
  private readonly _links = new Map<string, Promise<CoordinatorLink | undefined>>()
  private readonly _openLinks = new Map<string, CoordinatorLink>()
  private readonly _onDidOpen = this._register(new Emitter<CoordinatorLink>())
  private readonly _onDidLose = this._register(new Emitter<LostCoordinator>())
  private readonly _onDidDetectRestart = this._register(new Emitter<RestartedCoordinator>())
  readonly onDidOpen = this._onDidOpen.event
  readonly onDidLose = this._onDidLose.event
  /** Fired before the link that detected it is lost. */
  readonly onDidDetectRestart = this._onDidDetectRestart.event

  constructor (options: CoordinatorLinksOptions) {
    super()
    this._options = options
    this._register(toDisposable(() => { for (const link of this._links.values()) void link.then(open => open?.close()) }))
  }

  /** Returns the link to the coordinator at the address, opened if needed; undefined if it cannot be reached in time. */
  connect (address: string): Promise<CoordinatorLink | undefined> {
    const existing = this._links.get(address)
    if (existing !== undefined) return existing
    const opening = this._open(address)
    this._links.set(address, opening)
    return opening
  }

  /** Returns the link to the coordinator at the address if it is open already. */
  findOpen (address: string): CoordinatorLink | undefined {
    return this._openLinks.get(address)
  }

  private async _open (address: string): Promise<CoordinatorLink | undefined> {
    const { localAddress, clock, log, openLink = options => CoordinatorLink.open(options), findIncarnation } = this._options
    const incarnation = findIncarnation?.(address)
    const link = await openLink({ address, localAddress, clock, incarnation })
    if (link === undefined) {
      this._removeLink({ address, incarnation, link })
      return undefined
    }
    log.info('coordinator_linked', { coordinator: address, incarnation: incarnation ?? 'any' })
    link.onDidDetectRestart(started => {
      log.info('coordinator_restarted', { coordinator: address, known: incarnation ?? 'any', incarnation: started })
      this._onDidDetectRestart.fire({ address, incarnation: started })
    })
    link.onDidClose(() => this._removeLink({ address, incarnation, link }))
    this._openLinks.set(address, link)
    this._onDidOpen.fire(link)
    return link
  }

  private _removeLink (lost: LostCoordinator): void {
    this._links.delete(lost.address)
    this._openLinks.delete(lost.address)
    if (!this._isDisposed) this._onDidLose.fire(lost)
  }
}
