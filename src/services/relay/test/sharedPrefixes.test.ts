import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MAX_PREFIX_PARTS } from '../../preparation/common/preparationMessage.ts'
import type { PromptPart, PromptShape } from '../common/relayRequest.ts'
import { listSharedPrefixes } from '../common/sharedPrefixes.ts'

const test = suite('sharedPrefixes')

/** The last part of a prompt is its own. */
function createPrompt (parts: readonly PromptPart[]): PromptShape {
  return { model: 'm', inputTokens: 10, maxOutputTokens: 10, parts: [...parts, { id: 'own', tokens: 5 }] }
}

function createParts (count: number, idLength = 8): readonly PromptPart[] {
  return Array.from({ length: count }, (_, index) => ({ id: String(index).padStart(idLength, '0'), tokens: 12 }))
}

test('each prefix of a prompt with few parts is listed', () => {
  assert.equal(listSharedPrefixes(createPrompt([{ id: 'a', tokens: 3 }, { id: 'b', tokens: 4 }])), [{ key: 'a', tokens: 3 }, { key: 'a/b', tokens: 7 }])
  assert.equal(listSharedPrefixes(createPrompt([])), [])
  assert.is(listSharedPrefixes(createPrompt(createParts(16))).length, 16)
})

test('prompts with a common beginning list the same prefixes of it', () => {
  const [common, end] = [createParts(1200), [{ id: 'x', tokens: 1 }, { id: 'y', tokens: 1 }]]
  const [whole, longer, shorter] = [common, [...common, ...end], common.slice(0, 700)].map(parts => listSharedPrefixes(createPrompt(parts)))
  assert.ok(whole !== undefined && longer !== undefined && shorter !== undefined)
  assert.equal(longer.slice(0, whole.length - 1), whole.slice(0, -1))
  const count = shorter.length - 1
  assert.ok(count > 30)
  assert.equal(longer.slice(0, count), shorter.slice(0, count))
  assert.is(whole.at(-1)?.tokens, 1200 * 12)
})

test('prompts that differ in any part have different longest prefixes', () => {
  const parts = createParts(300)
  const keys = new Set(parts.map((_, index) => listSharedPrefixes(createPrompt(parts.map((part, other) => other === index ? { ...part, id: 'z' } : part))).at(-1)?.key))
  assert.is(keys.size, parts.length)
})

// Guards against prefixes whose cost grows with the square of the number of parts: a prompt of 1,200 parts in 14 kB held nodes up for
// seconds, and its job was no valid message.
test('the prefixes of any prompt are few and short', () => {
  for (const parts of [createParts(1200), createParts(8000, 4), createParts(60, 250), createParts(2, 16_000)]) {
    const startedAt = performance.now()
    const prefixes = listSharedPrefixes(createPrompt(parts))
    assert.ok(performance.now() - startedAt < 50)
    assert.ok(prefixes.length <= MAX_PREFIX_PARTS, `${prefixes.length} prefixes`)
    assert.ok(prefixes.every(({ key }) => key.length <= 256))
    assert.is(prefixes.at(-1)?.tokens, parts.length * 12)
  }
})

test.run()
