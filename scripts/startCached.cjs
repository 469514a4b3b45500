// Starts the bundle in this file's directory with its V8 code cache, if V8 accepts the cache. With --make-cache, it loads
// the bundle and writes the cache without starting the program.
const { readFileSync, writeFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

// Without a handler the signal ends the process. A reload that is requested before the settings are read needs nothing else.
process.on('SIGHUP', () => {})

const bundlePath = join(__dirname, 'pepperwood-node.bundle.cjs')
const cachePath = join(__dirname, 'pepperwood-node.cache')
const isCreatingCache = process.argv.includes('--make-cache')

/** Returns undefined if there is no cache. V8 then compiles the bundle, which only takes longer. */
function readCache () {
  try {
    return readFileSync(cachePath)
  } catch {
    return undefined
  }
}

const script = new Script(`(function (require, module, exports) {${readFileSync(bundlePath, 'latin1')}\n})`, {
  filename: bundlePath,
  cachedData: isCreatingCache ? undefined : readCache()
})
const bundleModule = { exports: {} }
script.runInThisContext()(require, bundleModule, bundleModule.exports)
if (isCreatingCache) writeFileSync(cachePath, script.createCachedData())
else bundleModule.exports.runProgram()
