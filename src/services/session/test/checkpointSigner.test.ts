import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { CheckpointSigner } from '../node/checkpointSigner.ts'
import type { CheckpointContent } from '../node/checkpointSigner.ts'

const KEY = 'a key of some length'
const expected = { customer: 'c', pipeline: 'p', stages: ['a', 'b', 'c'], contentDigest: 'd' }
const content: CheckpointContent = { ...expected, stagesDone: 2, result: 'text' }
const test = suite('checkpointSigner')

function signCheckpoint (options: Partial<CheckpointContent> = {}, key = KEY): Uint8Array {
  return new CheckpointSigner({ key }).sign({ ...content, ...options }) ?? new Uint8Array()
}

test('a checkpoint is accepted by any gate with the same key', () => {
  assert.equal(new CheckpointSigner({ key: KEY }).verify(signCheckpoint(), expected).unsafeCoerce(), content)
})

test('the previous key is accepted during a key rotation', () => {
  const next = new CheckpointSigner({ key: 'the next key in turn', previousKey: KEY })
  assert.ok(next.verify(signCheckpoint(), expected).isRight())
  assert.ok(new CheckpointSigner({ key: 'the next key in turn' }).verify(signCheckpoint(), expected).isLeft())
})

function mutateBit (bytes: Uint8Array, index: number): Uint8Array {
  const changed = Uint8Array.from(bytes)
  changed[index] = (changed[index] ?? 0) ^ 1
  return changed
}

const refused: readonly (readonly [string, Uint8Array])[] = [
  ['empty', new Uint8Array()],
  ['too short', signCheckpoint().subarray(0, 20)],
  ['another format version', mutateBit(signCheckpoint(), 0)],
  ['a modified signature', mutateBit(signCheckpoint(), 5)],
  ['a modified body', mutateBit(signCheckpoint(), 60)],
  ['signed with another key', signCheckpoint({}, 'some other long key')],
  ['of another customer', signCheckpoint({ customer: 'other' })],
  ['of another request', signCheckpoint({ contentDigest: 'other' })],
  ['of another pipeline', signCheckpoint({ pipeline: 'other' })],
  ['of a pipeline with other stages', signCheckpoint({ stages: ['a', 'c'] })],
  ['without a stage left to run', signCheckpoint({ stagesDone: 3 })],
  ['without a finished stage', signCheckpoint({ stagesDone: 0 })]
]

for (const [name, bytes] of refused) {
  test(`a checkpoint is refused with checkpointInvalid: ${name}`, () => {
    const error = new CheckpointSigner({ key: KEY }).verify(bytes, expected).swap().unsafeCoerce()
    assert.is(error.code, 212)
  })
}

test('no checkpoint is returned for a result above the size limit', () => {
  assert.is(new CheckpointSigner({ key: KEY }).sign({ ...content, result: 'x'.repeat(600 * 1024) }), undefined)
})

test.run()
