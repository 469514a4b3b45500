/**
 * Creates the quarantine of a node.
 */
import { QuarantineService } from '../services/quarantine/node/quarantineService.ts'
import type { QuarantineServiceOptions } from '../services/quarantine/node/quarantineService.ts'
import type { InstanceProbe } from '../services/quarantine/common/instanceProbe.ts'
import type { RelayTable } from '../services/relay/common/relayTable.ts'

export interface NodeQuarantineOptions extends Omit<QuarantineServiceOptions, 'readIdentity'> {
  /** Without it, upstreams are not asked which instance answers at their address. */
  readonly instanceProbe: InstanceProbe | undefined
  /** Returns undefined until a configuration is in force. */
  readonly getTable: () => RelayTable | undefined
}

/** Upstreams of a role without a health check are not asked either. */
export function createNodeQuarantine ({ instanceProbe, getTable, ...options }: NodeQuarantineOptions): QuarantineService {
  return new QuarantineService({
    ...options,
    readIdentity: async upstream => {
      const path = getTable()?.getRole(upstream.role)?.healthPath ?? ''
      return path === '' ? 'unknown' : await instanceProbe?.readIdentity(upstream, path) ?? 'unknown'
    }
  })
}
