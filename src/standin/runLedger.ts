/**
 * Counts how often each request ran in each role: what the promises are checked against.
 */
export interface RunRecord {
  readonly role: string
  readonly request: string
  /** `id=…` of the input: the caller's own mark, whatever sessions the request went through. */
  readonly marker: string
  readonly upstream: string
  readonly attempt: string
  /** Since the ledger was started, in milliseconds. */
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
