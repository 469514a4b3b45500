import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { CheckpointSeal } from '../node/checkpointSeal.ts'
import type { CheckpointContent } from '../node/checkpointSeal.ts'

const KEY = 'a key of some length'
const subject = { customer: 'c', pipeline: 'p', stages: ['a', 'b', 'c'], contentDigest: 'd' }
const content: CheckpointContent = { ...subject, stagesDone: 2, result: 'text' }
const test = suite('checkpointSeal')

function seal (options: Partial<CheckpointContent> = {}, key = KEY): Uint8Array {
  return new CheckpointSeal({ key }).seal({ ...content, ...options }) ?? new Uint8Array()
}

test('a checkpoint opens at any gate with the key', () => {
  assert.equal(new CheckpointSeal({ key: KEY }).open(seal(), subject).unsafeCoerce(), content)
})

test('the previous key is accepted while keys are changed', () => {
  const next = new CheckpointSeal({ key: 'the next key in turn', previousKey: KEY })
  assert.ok(next.open(seal(), subject).isRight())
  assert.ok(new CheckpointSeal({ key: 'the next key in turn' }).open(seal(), subject).isLeft())
})

function mutateBit (bytes: Uint8Array, index: number): Uint8Array {
  const changed = Uint8Array.from(bytes)
  changed[index] = (changed[index] ?? 0) ^ 1
  return changed
}

const refused: readonly (readonly [string, Uint8Array])[] = [
  ['empty', new Uint8Array()],
  ['too short', seal().subarray(0, 20)],
  ['another format', mutateBit(seal(), 0)],
  ['a changed seal', mutateBit(seal(), 5)],
  ['a changed body', mutateBit(seal(), 60)],
  ['a foreign key', seal({}, 'some other long key')],
  ['another customer\'s', seal({ customer: 'other' })],
  ['another request\'s', seal({ contentDigest: 'other' })],
  ['another pipeline\'s', seal({ pipeline: 'other' })],
  ['of stages that changed', seal({ stages: ['a', 'c'] })],
  ['with no stage left', seal({ stagesDone: 3 })],
  ['with no stage done', seal({ stagesDone: 0 })]
]

for (const [name, bytes] of refused) {
  test(`${name}: refused by code`, () => {
    const error = new CheckpointSeal({ key: KEY }).open(bytes, subject).swap().unsafeCoerce()
    assert.is(error.code, 212)
  })
}

test('a result that is too large is not handed out', () => {
  assert.is(new CheckpointSeal({ key: KEY }).seal({ ...content, result: 'x'.repeat(600 * 1024) }), undefined)
})

test.run()
