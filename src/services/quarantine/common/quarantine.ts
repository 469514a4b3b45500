/**
 * What the relay asks before it sends a request, and tells after an upstream ended under one.
 */
import type { Standing } from './quarantineBook.ts'

/** A run whose connection ended before its answer did. */
export interface LostRun {
  readonly digest: string
  readonly bodyBytes: number
  /** The boot that it was sent to. */
  readonly upstream: string
  readonly address: string
  /** Both on this process's clock, in milliseconds. */
  readonly sentAt: number
  readonly endedAt: number
}

/** A request before its digest is known: making one costs time, and is rarely needed. */
export interface ISuspect {
  readonly bodyBytes: number
  getDigest (): string
}

export interface IQuarantineService {
  judge (suspect: ISuspect): Standing
  /** Resolves with whether the upstream is known to have ended; takes no longer than a connection to it. */
  noteLost (run: LostRun): Promise<boolean>
  /** Counts a refusal, and says what it rests on. */
  reportRefusal (requestId: string, suspect: ISuspect, standing: Standing): void
  /** An upstream answered the request whole: it does not end what runs it. */
  noteServed (suspect: ISuspect): void
}
