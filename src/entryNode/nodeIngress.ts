/**
 * What the clients of a node may make it hold, derived from its settings.
 */
import type { IClock } from '../base/common/clock.ts'
import { Disposable } from '../base/common/disposable.ts'
import { deriveIngressLimits } from '../services/ingress/common/ingressLimits.ts'
import type { IngressLimits } from '../services/ingress/common/ingressLimits.ts'
import { MemoryBudget } from '../services/ingress/common/memoryBudget.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { NodeSettings } from './nodeSettings.ts'

export interface NodeIngressOptions {
  readonly clock: IClock
  readonly log: ILogService
  readonly settings: NodeSettings
}

export class NodeIngress extends Disposable {
  readonly limits: IngressLimits
  /** What the requests of callers hold. */
  readonly memory: MemoryBudget

  constructor ({ clock, log, settings }: NodeIngressOptions) {
    super()
    this.limits = deriveIngressLimits({ memoryMb: settings.memory_mb, maxDescriptors: settings.max_descriptors })
    this.memory = this._register(new MemoryBudget({ clock, maxBytes: this.limits.maxHeldBytes }))
    this._register(this.memory.onDidRunShort(({ request, heldBytes, stalledMs, usedBytes }) => log.warn('memory_short', { request, held_bytes: heldBytes, stalled_ms: Math.round(stalledMs), used_bytes: usedBytes })))
  }
}
