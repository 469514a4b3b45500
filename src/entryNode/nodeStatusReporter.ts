/**
 * Publishes a node's own status to the other nodes: its address for callers, whether it accepts requests, and its load.
 */
import type { IClock } from '../base/common/clock.ts'
import type { ConfigurationNumber } from '../services/configuration/common/configurationNumber.ts'
import { formatGateSubject } from '../services/facts/common/fact.ts'
import type { FactStore } from '../services/facts/common/factStore.ts'

export interface NodeStatus {
  readonly isReady: boolean
  readonly isDraining: boolean
  readonly inFlight: number
  readonly recentRequests: number
  readonly configuration: ConfigurationNumber
}

export interface NodeStatusReporterOptions {
  readonly clock: IClock
  readonly facts: FactStore
  /** The address at which callers reach the node. */
  readonly address: string
  readonly hall: string
  /** Increases with each process start on the host. */
  readonly incarnation: number
  readonly getStatus: () => NodeStatus
  /** Called after each report, so that it can be sent to the other nodes at once. */
  readonly onDidReport: (status: NodeStatus) => void
}

/** An unchanged status is published again after this time to replace lost facts; probes detect whether the node is alive. */
const REPORT_REFRESH_PERIOD_MS = 10_000

export class NodeStatusReporter {
  private readonly _options: NodeStatusReporterOptions
  private _factCounter = 0
  private _reportedAvailability = ''
  private _reportedAt = -Infinity

  constructor (options: NodeStatusReporterOptions) {
    this._options = options
  }

  /** Publishes the status if the availability for callers has changed or the last report is older than REPORT_REFRESH_PERIOD_MS. */
  reportIfChanged (): void {
    const { clock, facts, address, hall, incarnation, getStatus, onDidReport } = this._options
    const status = getStatus()
    const { isReady: ready, isDraining: draining, inFlight, recentRequests, configuration } = status
    const availability = `${ready}/${draining}`
    if (availability === this._reportedAvailability && clock.now() - this._reportedAt < REPORT_REFRESH_PERIOD_MS) return
    this._reportedAvailability = availability
    this._reportedAt = clock.now()
    const subject = formatGateSubject(address)
    facts.merge({
      subject,
      // The incarnation must not be lower than that of the previous node at this address, whose clock may have been ahead.
      incarnation: Math.max(incarnation, facts.get(subject)?.incarnation ?? 0),
      counter: ++this._factCounter,
      value: { kind: 'gate', address, hall, inFlight, recentRequests, draining, ready, configuration },
      ageMs: 0
    })
    onDidReport(status)
  }
}
