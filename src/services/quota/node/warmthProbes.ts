/**
 * Asks upstreams themselves whether they are cold, while the source of upstreams cannot tell.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { Disposable } from '../../../base/common/disposable.ts'
import type { ILogService } from '../../log/node/logger.ts'
import type { UpstreamEntry, UpstreamRegistry } from '../../upstream/common/upstreamRegistry.ts'
import type { WarmthProbe } from '../common/warmthProbe.ts'
import type { QuotaOwner } from '../common/quotaOwner.ts'

export interface WarmthProbesOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly registry: UpstreamRegistry
  readonly owner: QuotaOwner
  readonly probe: WarmthProbe
  /** Returns the path of the health check of a role's upstreams; empty if they have none. */
  readonly findHealthPath: (role: string) => string
}

/** After a probe without an answer, the upstream is asked again no sooner. */
const RETRY_DELAY_MS = 200

export class WarmthProbes extends Disposable {
  private readonly _options: WarmthProbesOptions
  private readonly _pending = new Set<string>()
  private readonly _retryAt = new Map<string, number>()

  constructor (options: WarmthProbesOptions) {
    super()
    this._options = options
    this._register(options.owner.onDidNeedProof(entry => { void this._probe(entry) }))
    this._register(options.registry.onDidChange(({ kind, entry }) => { if (kind === 'dropped') this._retryAt.delete(entry.id) }))
  }

  private async _probe (entry: UpstreamEntry): Promise<void> {
    const { clock, probe, findHealthPath } = this._options
    const path = findHealthPath(entry.role)
    const requestedAt = clock.now()
    if (path === '' || this._pending.has(entry.id) || requestedAt < (this._retryAt.get(entry.id) ?? 0)) return
    this._pending.add(entry.id)
    const coldMs = await probe.readColdMs(entry, path)
    this._pending.delete(entry.id)
    if (!this._isDisposed) this._recordAnswer(entry, coldMs, requestedAt)
  }

  private _recordAnswer (entry: UpstreamEntry, coldMs: number | undefined, requestedAt: number): void {
    const { clock, log, owner, registry } = this._options
    const now = clock.now()
    log.info('upstream_probed', { upstream: entry.id, cold_ms: coldMs ?? 'unknown', took_ms: Math.round(now - requestedAt) })
    if (coldMs === undefined) {
      this._retryAt.set(entry.id, now + RETRY_DELAY_MS)
    } else if (coldMs === 0) {
      owner.recordProof(entry.id, requestedAt)
    } else {
      const current = registry.get(entry.id)
      if (current !== undefined) registry.update({ ...current, coldUntil: now + coldMs }, 'health')
    }
  }
}
