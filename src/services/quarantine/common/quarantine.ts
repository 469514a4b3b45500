/**
 * The quarantine as used by the relay: checked before a request is sent, and updated after an upstream crashed while running
 * a request.
 */
import type { CrashRecord } from './quarantineTracker.ts'

/** A run whose connection was closed before its answer was complete. */
export interface LostRun {
  readonly digest: string
  readonly bodyBytes: number
  /** The id of the upstream instance that the run was sent to. */
  readonly upstream: string
  readonly address: string
  /** `sentAt` and `endedAt` are in milliseconds on this process's clock. */
  readonly sentAt: number
  readonly endedAt: number
}

/** A request whose digest is computed on demand, because hashing the body is expensive and rarely needed. */
export interface IRequestDigest {
  readonly bodyBytes: number
  getDigest (): string
}

export interface IQuarantineService {
  getCrashRecord (requestDigest: IRequestDigest): CrashRecord
  /** Resolves to whether the upstream is known to have crashed, within the time of one connection attempt to it. */
  recordLostRun (run: LostRun): Promise<boolean>
  /** Counts a refused request and logs the evidence for it. */
  reportRefusal (requestId: string, requestDigest: IRequestDigest, record: CrashRecord): void
  /** An upstream answered the request completely, so the request does not crash upstreams. */
  recordServed (requestDigest: IRequestDigest): void
}
