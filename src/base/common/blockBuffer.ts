/**
 * Collects bytes that arrive in parts of any size. It grows by whole blocks, so that nothing is copied, and at most half of its
 * memory is unused, however small the parts are.
 */

export interface BlockPoolOptions {
  /** Bytes of released blocks that are kept. */
  readonly maxFreeBytes: number
}

/** Size of the blocks that are used again. A buffer begins with smaller ones, which are not. */
const BLOCK_BYTES = 64 * 1024
const MIN_BLOCK_BYTES = 1024

/** Keeps released blocks for other buffers. Otherwise their memory would stay in use until the garbage collector runs. */
export class BlockPool {
  private readonly _options: BlockPoolOptions
  private readonly _free: Buffer[] = []

  constructor (options: BlockPoolOptions) {
    this._options = options
  }

  acquire (bytes: number): Buffer {
    return (bytes === BLOCK_BYTES ? this._free.pop() : undefined) ?? Buffer.allocUnsafeSlow(bytes)
  }

  release (block: Buffer): void {
    if (block.length === BLOCK_BYTES && this._free.length * BLOCK_BYTES < this._options.maxFreeBytes) this._free.push(block)
  }
}

export interface BlockBufferOptions {
  readonly pool: BlockPool
  /** Reserves memory for a block; false if there is none. */
  readonly reserve: (bytes: number) => boolean
  /** Gives reserved memory back. */
  readonly release: (bytes: number) => void
}

export class BlockBuffer {
  private readonly _options: BlockBufferOptions
  private readonly _blocks: Buffer[] = []
  private _length = 0
  /** Bytes of the last block that are in use. */
  private _lastLength = 0

  constructor (options: BlockBufferOptions) {
    this._options = options
  }

  get length (): number {
    return this._length
  }

  /** Returns false if there is no memory for the part; the buffer then has some of its bytes. */
  append (part: Uint8Array): boolean {
    const last = this._blocks.at(-1)
    // Small parts usually fit into the last block, and are then copied without creating a view of each.
    if (last !== undefined && part.length <= last.length - this._lastLength) {
      last.set(part, this._lastLength)
      this._lastLength += part.length
      this._length += part.length
      return true
    }
    return this._appendAcrossBlocks(part)
  }

  private _appendAcrossBlocks (part: Uint8Array): boolean {
    for (let offset = 0; offset < part.length;) {
      const block = this._findFreeBlock() ?? this._addBlock(part.length - offset)
      if (block === undefined) return false
      const count = Math.min(part.length - offset, block.length - this._lastLength)
      block.set(part.subarray(offset, offset + count), this._lastLength)
      this._lastLength += count
      this._length += count
      offset += count
    }
    return true
  }

  /** Returns all bytes and releases the blocks, but not what is reserved for the bytes; undefined if there is no memory for them. */
  take (): Buffer | undefined {
    const [first] = this._blocks
    if (first !== undefined && this._blocks.length === 1 && first.length < BLOCK_BYTES) return this._takeOnlyBlock(first)
    const length = this._length
    if (!this._options.reserve(length)) return undefined
    const bytes = Buffer.concat(this._listUsed())
    this.clear()
    return bytes
  }

  /** Discards all bytes and releases the blocks. */
  clear (): void {
    for (const block of this._blocks.splice(0)) {
      this._options.release(block.length)
      this._options.pool.release(block)
    }
    this._length = 0
    this._lastLength = 0
  }

  private _takeOnlyBlock (block: Buffer): Buffer {
    const bytes = block.subarray(0, this._length)
    this._options.release(block.length - this._length)
    this._blocks.length = 0
    this._length = 0
    this._lastLength = 0
    return bytes
  }

  private _listUsed (): readonly Buffer[] {
    return this._blocks.map((block, index) => index === this._blocks.length - 1 ? block.subarray(0, this._lastLength) : block)
  }

  private _findFreeBlock (): Buffer | undefined {
    const last = this._blocks.at(-1)
    return last !== undefined && this._lastLength < last.length ? last : undefined
  }

  /** Adds a block as large as all before it, so that at most half of the memory is unused. */
  private _addBlock (neededBytes: number): Buffer | undefined {
    const bytes = Math.min(BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this._length, neededBytes))
    if (!this._options.reserve(bytes)) return undefined
    const block = this._options.pool.acquire(bytes)
    this._blocks.push(block)
    this._lastLength = 0
    return block
  }
}
