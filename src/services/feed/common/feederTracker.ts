/**
 * Tracks whether a host can rely on its feeders instead of querying the source itself. Pure: the time is passed in.
 */
import { readEra } from './sourcePosition.ts'

/**
 * A feeder queries the source every second and sends its readers a message for each answer. Changes have to take effect
 * within 2 s, so a feeder that has been silent for this time is no longer reliable: 0.5 s remain to query the source.
 */
export const MAX_SILENCE_MS = 1500
/** A feeder that has been behind for this time may have a stalled watch of the source; changes are normally forwarded within 0.3 s. */
export const MAX_BEHIND_MS = 1000

/** The state of one feeder, as known to a reader. */
class FeederState {
  /** Since when the feeder's revision has been lower than the reader's; undefined while it is not. */
  behindSince: number | undefined
  /** The feeder reported that it has lost the source, or that it lacks changes that the reader asked for. */
  hasLostSource = false

  /** Takes the time at which the source last confirmed to the feeder that there are no further changes, and the revision. */
  constructor (public lastConfirmedAt: number, public revision: number) {}
}

/** Why a feeder is not reliable. */
export type FeederProblem = 'not heard yet' | 'silent' | 'lost the source' | 'behind' | 'ahead'

export class FeederTracker {
  private readonly _feeders = new Map<string, FeederState>()
  private _revision: number | undefined

  /** Sets the feeders that this host uses, and removes the state of all others. */
  setFeeders (addresses: readonly string[]): void {
    for (const address of this._feeders.keys()) if (!addresses.includes(address)) this._feeders.delete(address)
  }

  /** Sets the revision up to which the reader has applied all changes; undefined until it has a first list. */
  setRevision (revision: number | undefined, now: number): void {
    this._revision = revision
    for (const state of this._feeders.values()) this._updateLag(state, now)
  }

  /** Records that a feeder sent all changes up to a revision, which the source confirmed to it at `confirmedAt`. */
  recordConfirmation (address: string, revision: number, confirmedAt: number, now = confirmedAt): void {
    const state = this._feeders.get(address) ?? new FeederState(confirmedAt, revision)
    state.lastConfirmedAt = Math.max(state.lastConfirmedAt, confirmedAt)
    state.revision = revision
    state.hasLostSource = false
    this._updateLag(state, now)
    this._feeders.set(address, state)
  }

  recordSourceLoss (address: string): void {
    const state = this._feeders.get(address)
    if (state !== undefined) state.hasLostSource = true
  }

  /** Returns why the feeder is not reliable; undefined if it is. */
  findProblem (address: string, now: number): FeederProblem | undefined {
    const state = this._feeders.get(address)
    if (state === undefined || this._revision === undefined) return 'not heard yet'
    if (state.hasLostSource) return 'lost the source'
    if (now - state.lastConfirmedAt >= MAX_SILENCE_MS) return 'silent'
    if (state.revision > this._revision) return 'ahead'
    if (state.behindSince !== undefined && now - state.behindSince >= MAX_BEHIND_MS) return 'behind'
    return undefined
  }

  listReliable (now: number): readonly string[] {
    return [...this._feeders.keys()].filter(address => this.findProblem(address, now) === undefined)
  }

  /** Milliseconds since the source's last confirmation that was received through the feeder; Infinity if there was none. */
  computeSilenceMs (address: string, now: number): number {
    return now - (this._feeders.get(address)?.lastConfirmedAt ?? -Infinity)
  }

  private _updateLag (state: FeederState, now: number): void {
    if (this._revision === undefined || state.revision >= this._revision) state.behindSince = undefined
    // The feeder is in an earlier era, so its changes precede the restore of the source.
    else if (readEra(state.revision) < readEra(this._revision)) state.behindSince = -Infinity
    else state.behindSince ??= now
  }
}
