import type { HallRegions } from '../services/locate/common/hallRegions.ts'
import type { ILogService } from '../services/log/node/logger.ts'
import type { RelayTable } from '../services/relay/common/relayTable.ts'

/** A home region without any hall stays in force, so its requests are refused; the warning tells operators why. */
export function reportUnknownHomes (table: RelayTable, halls: HallRegions, log: ILogService): void {
  for (const { of, regions } of table.listAllHomeRegions()) {
    for (const region of halls.listUnknownRegions(regions)) log.warn('home_unknown', { of, region })
  }
}
