import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MAX_REPORTED_PARTS } from '../../facts/common/fact.ts'
import { RequestFingerprint } from '../node/requestFingerprint.ts'

const test = suite('requestFingerprint')

function listPartKeys (...ids: readonly string[]): readonly string[] {
  const parts = ids.map(id => ({ id, tokens: 1 }))
  return new RequestFingerprint({ method: 'GET', host: 'h', target: '/', customer: undefined, body: Buffer.of() }, { model: 'm', inputTokens: 1, maxOutputTokens: 1, parts }).getPartKeys()
}

test('the parts of a prompt but the last are named, each once', () => {
  assert.equal(listPartKeys('a', 'b', 'a', 'last'), ['part/a', 'part/b'])
  assert.equal(listPartKeys('last'), [])
  assert.equal(listPartKeys(), [])
})

test('thousands of parts and long ids are bounded', () => {
  const keys = listPartKeys(...Array.from({ length: 5000 }, (_item, index) => `${index}`.padEnd(4096, 'x')))
  assert.is(keys.length, MAX_REPORTED_PARTS)
  assert.ok(keys.every(key => key.length < 100))
  assert.is(new Set(keys).size, MAX_REPORTED_PARTS)
})

test.run()
