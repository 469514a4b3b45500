import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { digestRequest } from '../node/requestDigest.ts'

const test = suite('requestDigest')

const request = { method: 'POST', host: 'h', target: '/a?b', customer: 'c', body: Buffer.from('text') }

test('attempts of one request have the same digest, whatever their other fields contain', () => {
  assert.is(digestRequest({ ...request, id: '1', timeLeftMs: 5 } as typeof request), digestRequest({ ...request, id: '2' } as typeof request))
})

test('a different caller, path or body gives a different digest, even if the concatenated parts are equal', () => {
  const others = [{ method: 'GET' }, { host: 'i' }, { target: '/a' }, { customer: undefined }, { body: Buffer.from('texT') }, { target: '/a?bc', customer: '' }]
  const digests = [request, ...others.map(other => ({ ...request, ...other }))].map(digestRequest)
  assert.is(new Set(digests).size, digests.length)
})

test.run()
