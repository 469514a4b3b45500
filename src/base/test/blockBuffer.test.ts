import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BlockBuffer, BlockPool } from '../common/blockBuffer.ts'

const test = suite('blockBuffer')

const BLOCK_BYTES = 64 * 1024

class Fixture {
  reservedBytes = 0
  readonly pool = new BlockPool({ maxFreeBytes: 2 * BLOCK_BYTES })

  constructor (private readonly _maxBytes = Infinity) {}

  create (): BlockBuffer {
    return new BlockBuffer({
      pool: this.pool,
      reserve: bytes => {
        if (this.reservedBytes + bytes > this._maxBytes) return false
        this.reservedBytes += bytes
        return true
      },
      release: bytes => { this.reservedBytes -= bytes }
    })
  }
}

test('returns the bytes of all parts in order, whatever their sizes', () => {
  const sent = Buffer.from(Array.from({ length: 300_000 }, (_item, index) => index % 251))
  for (const partBytes of [1, 7, 1000, 65_536, 100_000, 300_000]) {
    const fixture = new Fixture()
    const buffer = fixture.create()
    for (let offset = 0; offset < sent.length; offset += partBytes) assert.ok(buffer.append(sent.subarray(offset, offset + partBytes)))
    assert.is(buffer.length, sent.length)
    assert.ok(buffer.take()?.equals(sent))
    assert.is(fixture.reservedBytes, sent.length)
    assert.is(buffer.length, 0)
  }
})

test('reserves at most twice the bytes, however small the parts are', () => {
  const fixture = new Fixture()
  const buffer = fixture.create()
  for (let count = 1; count <= 200_000; count++) {
    buffer.append(Buffer.from('x'))
    assert.ok(fixture.reservedBytes <= Math.max(1024, 2 * count))
  }
  buffer.clear()
  assert.is(fixture.reservedBytes, 0)
})

test('refuses a part for which there is no memory, and releases everything', () => {
  const fixture = new Fixture(100_000)
  const buffer = fixture.create()
  assert.ok(buffer.append(Buffer.alloc(60_000)))
  assert.not(buffer.append(Buffer.alloc(60_000)))
  buffer.clear()
  assert.is(fixture.reservedBytes, 0)
})

test('returns nothing if there is no memory for the copy of all bytes', () => {
  const fixture = new Fixture(150_000)
  const buffer = fixture.create()
  assert.ok(buffer.append(Buffer.alloc(100_000)))
  assert.is(buffer.take(), undefined)
  buffer.clear()
  assert.is(fixture.reservedBytes, 0)
})

test('uses released blocks again, and keeps a limited number of them', () => {
  const { pool } = new Fixture()
  const blocks = Array.from({ length: 3 }, () => pool.acquire(BLOCK_BYTES))
  for (const block of blocks) pool.release(block)
  const reused = Array.from({ length: 3 }, () => pool.acquire(BLOCK_BYTES))
  assert.is(reused.filter(block => blocks.includes(block)).length, 2)
})

test.run()
