/**
 * A gate's link to a steward. The gate receives facts and the configuration over it and sends its own facts. If the
 * steward is lost, the gate connects to the next one and keeps the last received state until then.
 */
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { dialPeer } from './peerLink.ts'
import type { DialOptions, PeerLink } from './peerLink.ts'

export interface StewardSubscriptionOptions {
  readonly link: Omit<DialOptions, 'address'>
  /** Lists the stewards of the settings, the preferred one first, and then those learned from facts. */
  readonly listStewards: () => readonly string[]
  readonly log: ILogService
  readonly pushPeriodMs?: number
  /** The link to a steward that sends nothing for this time is dropped. */
  readonly maxSilenceMs?: number
}

const CHECK_PERIOD_MS = 250
const REFRESH_TIMEOUT_MS = 500

export class StewardSubscription extends Disposable {
  private readonly _options: StewardSubscriptionOptions
  private _link: PeerLink | undefined
  private _isDialing = false
  private _nextStewardIndex = 0
  private _nextRefreshId = 1
  private _lastReceivedAt = 0
  private _linkCount = 0
  private readonly _onDidRefresh = this._register(new Emitter<number>())
  private readonly _onDidConnect = this._register(new Emitter<string>())
  readonly onDidConnect = this._onDidConnect.event

  constructor (options: StewardSubscriptionOptions) {
    super()
    this._options = options
    this._register(startInterval(CHECK_PERIOD_MS, () => this._checkLink()))
    this._register(startInterval(options.pushPeriodMs ?? 200, () => this._link?.sendNewFacts()))
    this._register(toDisposable(() => this._link?.dispose()))
    this._checkLink()
  }

  /** Empty while no steward is linked. */
  get stewardAddress (): string {
    return this._link?.peerAddress ?? ''
  }

  /** How many times a steward was linked; more than once means that one was lost. */
  get linkCount (): number {
    return this._linkCount
  }

  /** Sends own facts without waiting for the next round. */
  pushNow (): void {
    this._link?.sendNewFacts()
  }

  /** Announces the local configuration to the steward, so that a higher one is sent in return. */
  askForConfiguration (): void {
    this._link?.announceConfiguration()
  }

  /** Requests all facts from the steward; resolves with false if it does not answer in time, and drops its link. */
  async refresh (): Promise<boolean> {
    const link = this._link
    if (link === undefined || link.isClosed) return false
    const id = this._nextRefreshId++
    return await new Promise(resolve => {
      const end = (isRefreshed: boolean) => {
        clearTimeout(timer)
        subscription.dispose()
        resolve(isRefreshed)
      }
      const subscription = this._onDidRefresh.event(refreshed => { if (refreshed === id) end(true) })
      const timer = setTimeout(() => {
        end(false)
        this._dropLink(link)
      }, REFRESH_TIMEOUT_MS)
      link.askForRefresh(id)
    })
  }

  private _checkLink (): void {
    const silentMs = performance.now() - this._lastReceivedAt
    if (this._link !== undefined && silentMs > (this._options.maxSilenceMs ?? 3000)) this._dropLink(this._link)
    if (this._link === undefined && !this._isDialing) void this._connect()
  }

  private async _connect (): Promise<void> {
    const stewards = this._options.listStewards()
    const address = stewards[this._nextStewardIndex++ % Math.max(1, stewards.length)]
    if (address === undefined) return
    this._isDialing = true
    try {
      this._adoptLink(await dialPeer({ ...this._options.link, address }), address)
    } catch {
      // The steward cannot be reached; the next check tries the next one.
    } finally {
      this._isDialing = false
    }
  }

  private _adoptLink (link: PeerLink, address: string): void {
    if (this._isDisposed) return link.dispose()
    this._link = link
    this._lastReceivedAt = performance.now()
    this._linkCount++
    this._options.log.info('steward_linked', { steward: address })
    link.onDidReceive(message => {
      this._lastReceivedAt = performance.now()
      if (message.kind === 'refreshed') this._onDidRefresh.fire(message.id)
    })
    link.onDidClose(() => this._dropLink(link))
    this._onDidConnect.fire(address)
  }

  private _dropLink (link: PeerLink): void {
    if (this._link !== link) return
    this._options.log.warn('steward_lost', { steward: link.peerAddress })
    this._link = undefined
    link.dispose()
    if (!this._isDisposed) this._checkLink()
  }
}
