import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { hashSha256 } from '../../../base/node/digest.ts'
import { KeyDigests } from '../node/keyDigests.ts'

const test = suite('keyDigests')

test('keeps a limited number of digests, and none of long keys', () => {
  const digests = new KeyDigests()
  for (let index = 0; index < 5000; index++) {
    const key = `key-${index}`
    assert.is(digests.digest(key), hashSha256(key))
    assert.ok(digests.cachedCount <= 1000)
  }
  const cachedCount = digests.cachedCount
  const longKey = 'k'.repeat(4000)
  assert.is(digests.digest(longKey), hashSha256(longKey))
  assert.is(digests.cachedCount, cachedCount)
})

test.run()
