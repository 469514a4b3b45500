import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findAnswerFraming } from '../common/answerFraming.ts'
import type { AnswerFraming, FramedHead } from '../common/answerFraming.ts'

const test = suite('answerFraming')

const CASES: readonly (readonly [AnswerFraming, FramedHead['headers'], number?, string?])[] = [
  ['close', {}],
  ['length', { 'content-length': '2' }],
  ['chunked', { 'transfer-encoding': 'chunked' }],
  ['chunked', { 'transfer-encoding': ' Chunked ' }],
  ['none', {}, 204],
  ['none', { 'content-length': '2' }, 304],
  ['none', { 'content-length': '2' }, 200, 'HEAD'],
  ['unsupported', { 'transfer-encoding': 'gzip' }],
  ['unsupported', { 'transfer-encoding': 'gzip, chunked' }],
  ['unsupported', { 'transfer-encoding': 'xchunked' }],
  ['unsupported', { 'transfer-encoding': '' }],
  ['unsupported', { 'transfer-encoding': 'chunked', 'content-length': '2' }]
]

test('the framing of a body follows from the head alone', () => {
  for (const [framing, headers, status = 200, method = 'GET'] of CASES) assert.is(findAnswerFraming({ method, status, headers }), framing, JSON.stringify(headers))
})

test.run()
