/**
 * A gate's link to a steward: the view comes over it, and the gate's own facts go. When the steward is lost,
 * the next one is taken, and the last view is kept meanwhile.
 */
import { Disposable, toDisposable } from '../../../base/common/disposable.ts'
import { Emitter } from '../../../base/common/event.ts'
import { startInterval } from '../../../base/node/interval.ts'
import type { ILogService } from '../../log/node/logger.ts'
import { dialPeer } from './peerLink.ts'
import type { DialOptions, PeerLink } from './peerLink.ts'

export interface StewardSubscriptionOptions {
  readonly link: Omit<DialOptions, 'address'>
  /** Settings first, the preferred steward first, then those learned from the view. */
  readonly listStewards: () => readonly string[]
  readonly log: ILogService
  readonly pushPeriodMs?: number
  /** A steward that sends nothing for so long is given up. */
  readonly maxSilenceMs?: number
}

const CHECK_PERIOD_MS = 250
const REFRESH_TIMEOUT_MS = 500

export class StewardSubscription extends Disposable {
  private readonly _options: StewardSubscriptionOptions
  private _link: PeerLink | undefined
  private _isDialing = false
  private _next = 0
  private _nextRefreshId = 1
  private _heardAt = 0
  private _linkCount = 0
  private readonly _onDidRefresh = this._register(new Emitter<number>())
  private readonly _onDidConnect = this._register(new Emitter<string>())
  readonly onDidConnect = this._onDidConnect.event

  constructor (options: StewardSubscriptionOptions) {
    super()
    this._options = options
    this._register(startInterval(CHECK_PERIOD_MS, () => this._check()))
    this._register(startInterval(options.pushPeriodMs ?? 200, () => this._link?.sendNews()))
    this._register(toDisposable(() => this._link?.dispose()))
    this._check()
  }

  /** Empty while no steward is linked. */
  get stewardAddress (): string {
    return this._link?.peerAddress ?? ''
  }

  /** How often a steward was linked; more than once means that one was lost. */
  get linkCount (): number {
    return this._linkCount
  }

  /** Sends own facts without waiting for the next round. */
  pushNow (): void {
    this._link?.sendNews()
  }

  /** Asks the steward for a configuration as high as its own. */
  askConfiguration (): void {
    this._link?.announceConfiguration()
  }

  /** Reads the view anew; false when no steward answered in time. */
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
        this._drop(link)
      }, REFRESH_TIMEOUT_MS)
      link.askAll(id)
    })
  }

  private _check (): void {
    const silentMs = performance.now() - this._heardAt
    if (this._link !== undefined && silentMs > (this._options.maxSilenceMs ?? 3000)) this._drop(this._link)
    if (this._link === undefined && !this._isDialing) void this._connect()
  }

  private async _connect (): Promise<void> {
    const stewards = this._options.listStewards()
    const address = stewards[this._next++ % Math.max(1, stewards.length)]
    if (address === undefined) return
    this._isDialing = true
    try {
      this._adopt(await dialPeer({ ...this._options.link, address }), address)
    } catch {
      // Not reachable: the next check tries the next steward.
    } finally {
      this._isDialing = false
    }
  }

  private _adopt (link: PeerLink, address: string): void {
    if (this._isDisposed) return link.dispose()
    this._link = link
    this._heardAt = performance.now()
    this._linkCount++
    this._options.log.info('steward_linked', { steward: address })
    link.onDidReceive(message => {
      this._heardAt = performance.now()
      if (message.kind === 'refreshed') this._onDidRefresh.fire(message.id)
    })
    link.onDidClose(() => this._drop(link))
    this._onDidConnect.fire(address)
  }

  private _drop (link: PeerLink): void {
    if (this._link !== link) return
    this._options.log.warn('steward_lost', { steward: link.peerAddress })
    this._link = undefined
    link.dispose()
    if (!this._isDisposed) this._check()
  }
}
