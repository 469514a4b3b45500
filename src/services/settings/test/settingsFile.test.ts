import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { GateSettingsSchema } from '../../../gate/gateSettings.ts'
import { checkEnvironment } from '../../program/node/program.ts'
import { loadSettings } from '../node/settingsFile.ts'

const test = suite('settingsFile')
const validText = 'address = "127.0.0.1:8000"\nhall = "north"\nstewards = ["127.0.0.1:7000"]\ncheckpoint_key = "sixteen letters or more"\n'
const directory = mkdtempSync(join(tmpdir(), 'pepperwood-'))
const file = join(directory, 'gate.toml')
test.after(() => rmSync(directory, { recursive: true }))

function load (text: string) {
  writeFileSync(file, text)
  return loadSettings(file, GateSettingsSchema)
}

test('valid settings are loaded, with defaults for missing optional keys', () => {
  const settings = load(validText).unsafeCoerce()
  assert.is(settings.policy.router, 'estimated-finish')
  assert.is(settings.session_lifetime_ms, 600_000)
})

const invalidSettings: readonly (readonly [string, string, string, string, number])[] = [
  ['not TOML', 'address = ', '', '', 101],
  ['a missing key', validText.replace(/hall.*\n/, ''), ': hall', '', 102],
  ['an unknown key', `${validText}colour = "red"\n`, ': colour', '"red"', 102],
  ['a host name', validText.replace('127.0.0.1:8000', 'localhost:8000'), ': address', '"localhost:8000"', 102],
  ['a port above 65535', validText.replace('127.0.0.1:8000', '127.0.0.1:80000'), ': address', '"127.0.0.1:80000"', 102],
  ['a wrong type', validText.replace('"north"', '7'), ': hall', '7', 102],
  ['an unknown enum value', `${validText}[policy]\nrouter = "best"\n`, ': policy.router', '"best"', 102],
  ['a share above one', `${validText}[policy]\nretry_share = 3\n`, ': policy.retry_share', '3', 102],
  ['a checkpoint key that is too short', validText.replace('sixteen letters or more', 'short'), ': checkpoint_key', '"short"', 102]
]

for (const [name, text, place, value, code] of invalidSettings) {
  test(`${name}: rejected with file, key and value`, () => {
    const error = load(text).swap().unsafeCoerce()
    assert.is(error.code, code)
    assert.is(error.place, `${file}${place}`)
    if (value !== '') assert.is(error.value, value)
  })
}

test('a missing file is rejected', () => {
  assert.is(loadSettings(join(directory, 'none.toml'), GateSettingsSchema).swap().unsafeCoerce().code, 101)
})

test('an environment that enables io_uring is rejected', () => {
  assert.is(checkEnvironment({ UV_USE_IO_URING: '1' })?.code, 102)
  assert.is(checkEnvironment({ UV_USE_IO_URING: '0' }), undefined)
  assert.is(checkEnvironment({}), undefined)
})

test.run()
