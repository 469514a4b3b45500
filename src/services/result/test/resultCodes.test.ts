import { readFileSync } from 'node:fs'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { PepperwoodError, toPepperwoodError } from '../common/pepperwoodError.ts'
import { resultCodes } from '../common/resultCodes.ts'

const test = suite('resultCodes')

test('RESULT_CODES.md lists exactly the codes of the system under their names', () => {
  const page = readFileSync(new URL('../../../../docs/RESULT_CODES.md', import.meta.url), 'utf8')
  const listed = [...page.matchAll(/^\| (\d{3}) \| (\w+) \|/gm)].map(row => [row[2], Number(row[1])])
  assert.equal(Object.fromEntries(listed), resultCodes)
})

test('no two results share a code', () => {
  assert.is(new Set(Object.values(resultCodes)).size, Object.values(resultCodes).length)
})

test('an error contains the code, the place and the value, and a long value is truncated', () => {
  const error = new PepperwoodError({ name: 'settingsInvalid', message: 'expected a number', place: 'gate.toml: hall', value: 'x'.repeat(500) })
  assert.match(error.toString(), /^102 settingsInvalid at gate.toml: hall: expected a number \(found x{120}\)$/)
  assert.is(toPepperwoodError('oops').code, 901)
  assert.is(toPepperwoodError(error), error)
})

test.run()
