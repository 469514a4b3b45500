/**
 * Collects bytes that arrive in parts. Each byte is copied a constant number of times on average, and many small parts take no
 * more memory than their bytes.
 */
export class ByteBuffer {
  private _bytes: Buffer = Buffer.alloc(0)
  private _length = 0

  get length (): number {
    return this._length
  }

  append (part: Uint8Array): void {
    const length = this._length + part.length
    if (length > this._bytes.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, 2 * this._bytes.length))
      grown.set(this._bytes.subarray(0, this._length))
      this._bytes = grown
    }
    this._bytes.set(part, this._length)
    this._length = length
  }

  /** Returns a view of the last bytes; it is valid until the next call of `append`. */
  getLast (count: number): Buffer {
    return this._bytes.subarray(Math.max(0, this._length - count), this._length)
  }

  /** Returns all bytes and removes them. */
  take (): Buffer {
    const bytes = this._bytes.subarray(0, this._length)
    this._bytes = Buffer.alloc(0)
    this._length = 0
    return bytes
  }
}
