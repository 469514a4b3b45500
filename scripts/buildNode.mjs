// Bundles the program that runs on the platform's nodes into target/, together with a V8 code cache. Compiling the bundle
// takes a third of the start-up time on a small host, and all hosts start at once after a loss of power.
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { bundleOptions } from './bundleOptions.mjs'

const rootPath = fileURLToPath(new URL('..', import.meta.url))

/** Replaces modules of prom-client that the node does not use with empty ones: they load TLS, compression and cluster at start-up. */
const withoutUnusedMetrics = {
  name: 'without-unused-metrics',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^\.\/lib\/(pushgateway|cluster)$/ }, ({ path, importer }) => importer.includes('prom-client') ? { path, namespace: 'unused' } : undefined)
    onLoad({ filter: /./, namespace: 'unused' }, () => ({ contents: '' }))
  }
}

await build({
  ...bundleOptions,
  banner: undefined,
  format: 'cjs',
  entryPoints: [{ in: 'platform/main.ts', out: 'pepperwood-node.bundle' }],
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  minify: true,
  sourcemap: false,
  plugins: [withoutUnusedMetrics],
  // Stops cbor-x from searching for its native addon at each start. The bundle does not contain the addon.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' }
})
copyFileSync('scripts/startCached.cjs', 'target/pepperwood-node.cjs')
// V8 accepts a code cache only from a process with the same options, so the options are read from the deploy file.
const [, options] = /^run = "node (.*?) ?target\//m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
// V8 would silently reject a cache created with other options at each start.
if (options === undefined) throw new Error('deploy/system.toml: no role runs a program in target/ with node')
execFileSync(process.execPath, [...options.split(' ').filter(Boolean), 'target/pepperwood-node.cjs', '--make-cache'], { cwd: rootPath, stdio: 'inherit' })
