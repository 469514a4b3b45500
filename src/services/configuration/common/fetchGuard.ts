/**
 * Keeps a process from fetching one document over several links at once: documents can be large, and every peer that
 * has a new one says so.
 */
import type { IClock } from '../../../base/common/clock.ts'
import { compareStamps } from './configurationNumber.ts'
import type { ConfigurationStamp } from './configurationNumber.ts'

/** After this a fetch is taken for lost, and another peer is asked. */
const FETCH_TIMEOUT_MS = 500

export class FetchGuard {
  private _fetching: ConfigurationStamp | undefined
  private _askedAt = -Infinity

  constructor (private readonly _clock: IClock) {}

  /** Whether a document with this stamp should be asked for now; if so, it counts as asked for. */
  begin (offered: ConfigurationStamp, held: ConfigurationStamp): boolean {
    if (compareStamps(offered, held) <= 0) return false
    const now = this._clock.now()
    const isUnderWay = this._fetching !== undefined && compareStamps(offered, this._fetching) <= 0 && now - this._askedAt < FETCH_TIMEOUT_MS
    if (isUnderWay) return false
    this._fetching = offered
    this._askedAt = now
    return true
  }
}
