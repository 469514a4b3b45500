// Starts the bundle beside this file, from V8's code cache where that fits. With --make-cache it writes the cache
// after loading the bundle, without starting anything.
const { readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

const bundlePath = join(__dirname, 'pepperwood-node.bundle.cjs')
const cachePath = join(__dirname, 'pepperwood-node.cache')
const isMaking = process.argv.includes('--make-cache')

/** Without a cache the bundle is compiled, which only takes longer. */
function readCache () {
  try {
    return readFileSync(cachePath)
  } catch {
    return undefined
  }
}

const script = new Script(`(function (require, module, exports) {${readFileSync(bundlePath, 'latin1')}\n})`, {
  filename: bundlePath,
  cachedData: isMaking ? undefined : readCache()
})
const module_ = { exports: {} }
script.runInThisContext()(require, module_, module_.exports)
if (isMaking) writeFileSync(cachePath, script.createCachedData())
else module_.exports.runProgram()
