/**
 * Whether a host may rely on what its feeders tell in place of asking the source itself. Pure: time is passed in.
 */
import { readEra } from './sourcePosition.ts'

/**
 * A feeder tells its readers something with each answer of the source, which it asks every second. News has to be acted
 * on within 2 s, so a feeder that is silent for so long is no longer relied on: 0.5 s are left to ask the source.
 */
export const MAX_SILENCE_MS = 1500
/** A feeder that is behind for so long may have a deaf watch of the source; changes are handed on within 0.3 s. */
export const MAX_BEHIND_MS = 1000

/** What a reader knows of one feeder. */
class FeederState {
  /** Since when the reader has known more than the feeder; undefined while it has not. */
  behindSince: number | undefined
  /** The feeder itself does not hear the source. */
  isLost = false

  /** With when the source last told it that there is no more, and up to which revision. */
  constructor (public heardAt: number, public revision: number) {}
}

/** Why a feeder is not relied on. */
export type FeedDoubt = 'not heard yet' | 'silent' | 'lost the source' | 'behind' | 'ahead'

export class FeedBelief {
  private readonly _feeders = new Map<string, FeederState>()
  private _revision: number | undefined

  /** Feeders that are no longer listened to are forgotten. */
  setFeeders (addresses: readonly string[]): void {
    for (const address of this._feeders.keys()) if (!addresses.includes(address)) this._feeders.delete(address)
  }

  /** The revision up to which the reader has taken all changes; undefined until it has a first list. */
  setRevision (revision: number | undefined, now: number): void {
    this._revision = revision
    for (const state of this._feeders.values()) this._noteBehind(state, now)
  }

  /** A feeder told of changes up to a revision, or that there are none after it, as the source had said at that time. */
  noteHeard (address: string, revision: number, confirmedAt: number, now = confirmedAt): void {
    const state = this._feeders.get(address) ?? new FeederState(confirmedAt, revision)
    state.heardAt = Math.max(state.heardAt, confirmedAt)
    state.revision = revision
    state.isLost = false
    this._noteBehind(state, now)
    this._feeders.set(address, state)
  }

  noteLost (address: string): void {
    const state = this._feeders.get(address)
    if (state !== undefined) state.isLost = true
  }

  /** Undefined where the feeder can be relied on. */
  findDoubt (address: string, now: number): FeedDoubt | undefined {
    const state = this._feeders.get(address)
    if (state === undefined || this._revision === undefined) return 'not heard yet'
    if (state.isLost) return 'lost the source'
    if (now - state.heardAt >= MAX_SILENCE_MS) return 'silent'
    if (state.revision > this._revision) return 'ahead'
    if (state.behindSince !== undefined && now - state.behindSince >= MAX_BEHIND_MS) return 'behind'
    return undefined
  }

  /** Feeders that can be relied on. */
  listTrusted (now: number): readonly string[] {
    return [...this._feeders.keys()].filter(address => this.findDoubt(address, now) === undefined)
  }

  /** For how long the source was not heard through a feeder; infinite where it never was. */
  computeSilentMs (address: string, now: number): number {
    return now - (this._feeders.get(address)?.heardAt ?? -Infinity)
  }

  private _noteBehind (state: FeederState, now: number): void {
    if (this._revision === undefined || state.revision >= this._revision) state.behindSince = undefined
    // What it tells is of a source that is gone.
    else if (readEra(state.revision) < readEra(this._revision)) state.behindSince = -Infinity
    else state.behindSince ??= now
  }
}
