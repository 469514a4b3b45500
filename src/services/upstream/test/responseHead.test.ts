import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { validateFinalHead, validateInterimHead } from '../common/responseHead.ts'
import type { ResponseHead } from '../common/responseHead.ts'

const test = suite('responseHead')

const SOUND = { httpVersion: '1.1', statusCode: 200, statusMessage: 'OK', rawHeaders: ['X-A', '1'] }
const SEPARATORS = '()<>@,;:\\"/[]?={}'

function validate (changes: Partial<ResponseHead>): string | undefined {
  return validateFinalHead({ ...SOUND, ...changes })
}

test('only the versions and statuses of HTTP/1 are valid', () => {
  for (const httpVersion of ['1.0', '1.1']) assert.is(validate({ httpVersion }), undefined)
  for (const httpVersion of ['0.9', '1.2', '2.0', '']) assert.is(validate({ httpVersion }), `invalid version ${httpVersion}`)
  const statuses = Array.from({ length: 1000 }, (_item, statusCode) => statusCode)
  assert.equal(statuses.filter(statusCode => validate({ statusCode }) === undefined), statuses.slice(200, 600))
  const interim = statuses.filter(statusCode => validateInterimHead({ ...SOUND, statusCode }) === undefined)
  assert.equal(interim, statuses.slice(100, 200).filter(statusCode => statusCode !== 101))
})

test('names are tokens, and values hold no control bytes', () => {
  for (let byte = 0; byte < 256; byte++) {
    const char = String.fromCharCode(byte)
    const isControl = (byte < 0x20 && char !== '\t') || byte === 0x7f
    const isToken = byte > 0x20 && byte < 0x7f && !SEPARATORS.includes(char)
    for (const name of [`${char}a`, `a${char}b`, `a${char}`]) assert.is(validate({ rawHeaders: ['X-A', '1', name, '1'] }), isToken ? undefined : `invalid field name ${JSON.stringify(name)}`)
    assert.is(validate({ rawHeaders: ['X-A', '1', 'X-B', `a${char}b`] }), isControl ? 'invalid value of "X-B"' : undefined, `byte ${byte}`)
    assert.is(validate({ statusMessage: `a${char}` }), isControl ? 'invalid reason phrase' : undefined)
  }
  assert.is(validate({ rawHeaders: ['', '1'] }), 'invalid field name ""')
  assert.is(validate({ statusMessage: undefined, rawHeaders: ['X-A', ''] }), undefined)
})

test.run()
