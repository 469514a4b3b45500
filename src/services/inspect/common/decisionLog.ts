/**
 * The most recent decisions of a process: the choice, its reason, its inputs and its time.
 */
import { RingBuffer } from '../../../base/common/ringBuffer.ts'
import type { IClock } from '../../../base/common/clock.ts'

export type DecisionKind = 'admit' | 'refuse' | 'route' | 'outcome' | 'retry' | 'resume' | 'hedge' | 'end' | 'order'

export interface DecisionRecord {
  readonly subject: string
  readonly kind: DecisionKind
  readonly choice: string
  readonly reason: string
  readonly inputs: string
  /** On the process's clock, in milliseconds. */
  readonly at: number
}

const DEFAULT_CAPACITY = 20_000

export class DecisionLog {
  private readonly _records: RingBuffer<DecisionRecord>

  constructor (private readonly _clock: IClock, capacity = DEFAULT_CAPACITY) {
    this._records = new RingBuffer(capacity)
  }

  record (decision: Omit<DecisionRecord, 'at'>): void {
    this._records.add({ ...decision, at: this._clock.now() })
  }

  /** Returns the decisions about a subject, oldest first. */
  find (subject: string): readonly DecisionRecord[] {
    return this._records.list().filter(record => record.subject === subject)
  }

  listLast (count: number): readonly DecisionRecord[] {
    return this._records.list().slice(-count)
  }
}
