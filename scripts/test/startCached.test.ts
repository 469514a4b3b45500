import { execFileSync } from 'node:child_process'
import { copyFileSync, existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const test = suite('startCached')
const BUNDLE = "const { hostname } = require('node:os'); module.exports = { runProgram: () => console.log('started', typeof hostname) }"

function createFolder (): string {
  const folder = mkdtempSync(join(tmpdir(), 'pepperwood-start-'))
  copyFileSync('scripts/startCached.cjs', join(folder, 'pepperwood-node.cjs'))
  writeFileSync(join(folder, 'pepperwood-node.bundle.cjs'), BUNDLE)
  return folder
}

function runLoader (folder: string, ...args: readonly string[]): string {
  return execFileSync(process.execPath, [join(folder, 'pepperwood-node.cjs'), ...args], { encoding: 'utf8', env: { PATH: process.env.PATH } })
}

test('creating the cache does not start the program', () => {
  const folder = createFolder()
  assert.is(runLoader(folder, '--make-cache'), '')
  assert.ok(existsSync(join(folder, 'pepperwood-node.cache')))
  assert.is(runLoader(folder), 'started function\n')
  rmSync(folder, { recursive: true })
})

for (const [name, cache] of [['missing', undefined], ['broken', 'not a cache'], ['empty', '']] as const) {
  test(`the program starts with a ${name} cache`, () => {
    const folder = createFolder()
    if (cache !== undefined) writeFileSync(join(folder, 'pepperwood-node.cache'), cache)
    assert.is(runLoader(folder), 'started function\n')
    rmSync(folder, { recursive: true })
  })
}

test('a reload that is requested while the program loads does not end it', () => {
  const folder = createFolder()
  writeFileSync(join(folder, 'pepperwood-node.bundle.cjs'), `process.kill(process.pid, 'SIGHUP'); ${BUNDLE}`)
  assert.is(runLoader(folder), 'started function\n')
  rmSync(folder, { recursive: true })
})

test.run()
