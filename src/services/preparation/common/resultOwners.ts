/**
 * Remembers which piece each result on one connection was computed for. An upstream may send an earlier answer once more, and
 * calls for pieces have no id, so that only its results show that an answer belongs to another call.
 */
export class ResultOwners {
  private readonly _pieces = new Map<string, string>()

  constructor (private readonly _maxSize: number) {}

  /** Records the piece that a result was returned for; false if the result belongs to another piece. */
  add (handle: string, piece: string): boolean {
    const known = this._pieces.get(handle)
    if (known !== undefined) return known === piece
    this._pieces.set(handle, piece)
    const [oldest] = this._pieces.keys()
    if (this._pieces.size > this._maxSize && oldest !== undefined) this._pieces.delete(oldest)
    return true
  }
}
