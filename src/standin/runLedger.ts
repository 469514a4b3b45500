/**
 * Records every execution of a request by an upstream, to verify guarantees such as at most one execution.
 */
export interface RunRecord {
  readonly role: string
  readonly request: string
  /** `id=…` from the input: set by the caller, and the same in all sessions in which the request is submitted. */
  readonly marker: string
  readonly upstream: string
  readonly attempt: string
  /** Milliseconds since the ledger was created. */
  readonly atMs: number
}

const MAX_RECORDS = 2_000_000

export class RunLedger {
  private readonly _records: RunRecord[] = []
  private readonly _startedAt = performance.now()

  record (run: Omit<RunRecord, 'atMs'>): void {
    if (this._records.length < MAX_RECORDS) this._records.push({ ...run, atMs: performance.now() - this._startedAt })
  }

  list (): readonly RunRecord[] {
    return this._records
  }
}
