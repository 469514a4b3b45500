/**
 * The quarantine as used by the relay: checked before a request is sent, and updated after an upstream crashed while running
 * a request.
 */
import type { IDisposable } from '../../../base/common/disposable.ts'
import type { UpstreamEntry } from '../../upstream/common/upstreamRegistry.ts'
import type { CrashRecord } from './quarantineTracker.ts'
import type { IRequestIdentity } from './requestIdentity.ts'

/** A run whose connection was closed before its answer was complete. */
export interface LostRun {
  readonly digest: string
  readonly bodyBytes: number
  /** Keys of the parts of its prompt that other requests may share. */
  readonly partKeys: readonly string[]
  /** Whether the upstream had just begun its answer. */
  readonly isStarting: boolean
  /** The id of the upstream instance that the run was sent to. */
  readonly upstream: string
  readonly address: string
  /** `sentAt` and `endedAt` are in milliseconds on this process's clock. */
  readonly sentAt: number
  readonly endedAt: number
}

/** A run that has not ended. */
export interface OpenRun {
  readonly upstream: string
  /** Returns the run as it would count if its upstream had crashed; undefined unless the upstream has been silent for a while. */
  readonly findSilentRun: () => LostRun | undefined
}

/** A run whose answer was complete. */
export interface ServedRun {
  readonly requestId: string
  readonly upstream: string
  /** In milliseconds on this process's clock. */
  readonly sentAt: number
}

export interface IQuarantineService {
  /** Returns undefined unless this node has just started and may not know yet what its peers know. */
  waitForPeers (): Promise<void> | undefined
  getCrashRecord (request: IRequestIdentity): CrashRecord
  /**
   * Checks an upstream that ended its connection where nothing else marks the end of an answer. Resolves to whether it is known
   * to run: one that leaves may as well have been killed before it had sent everything.
   */
  confirmRunning (upstream: UpstreamEntry): Promise<boolean>
  /** Resolves to whether the upstream is known to have crashed, within the time of one connection attempt to it. */
  recordLostRun (run: LostRun): Promise<boolean>
  /**
   * Tracks a run until it ends. If its host loses power, its connection stays silent, and nothing else tells this node that the
   * run was lost until its deadline.
   */
  trackRun (run: OpenRun): IDisposable
  /** Records a run that this node ended while its upstream was silent; the upstream may have crashed with its host. */
  recordSilentRun (run: LostRun): void
  /** Counts a refused request and logs the evidence for it. */
  reportRefusal (requestId: string, request: IRequestIdentity, record: CrashRecord): void
  /** An upstream answered the request completely, so neither the request nor a part of its prompt crashes upstreams. */
  recordServed (request: IRequestIdentity, run: ServedRun): void
}
