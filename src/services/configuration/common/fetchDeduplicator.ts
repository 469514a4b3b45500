/**
 * Prevents a process from fetching the same document over several links at once: documents can be large, and every peer
 * that has a new one announces it.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { compareConfigurationStamps } from './configurationNumber.ts'
import type { ConfigurationStamp } from './configurationNumber.ts'

/** A fetch without an answer within this time is considered lost, and another peer may be asked. */
const FETCH_TIMEOUT_MS = 500

export class FetchDeduplicator {
  private _inFlightStamp: ConfigurationStamp | undefined
  private _requestedAt = -Infinity

  constructor (private readonly _clock: IClock) {}

  /** Whether a document with this stamp should be fetched now; if so, it is recorded as in flight. */
  tryBeginFetch (offered: ConfigurationStamp, held: ConfigurationStamp): boolean {
    if (compareConfigurationStamps(offered, held) <= 0) return false
    const now = this._clock.now()
    const isInFlight = this._inFlightStamp !== undefined && compareConfigurationStamps(offered, this._inFlightStamp) <= 0 && now - this._requestedAt < FETCH_TIMEOUT_MS
    if (isInFlight) return false
    this._inFlightStamp = offered
    this._requestedAt = now
    return true
  }

  /** Records that a part of the document arrived and the next one was requested. */
  recordProgress (): void {
    this._requestedAt = this._clock.now()
  }
}
