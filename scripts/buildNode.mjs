// Bundles the node that runs on the platform under target/, with what V8 made of it: compiling the bundle is a third of
// a start on a small host, and after a loss of power all hosts start at once.
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { bundleOptions } from './bundleOptions.mjs'

const rootPath = fileURLToPath(new URL('..', import.meta.url))

/** Parts of prom-client that a node has no use for; they load TLS, compression and clusters with each start. */
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
  // The native part of cbor-x is looked for with each start, and is not in the bundle.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' }
})
copyFileSync('scripts/startCached.cjs', 'target/pepperwood-node.cjs')
// V8 takes a cache only from a process with the same options, so they are read from where the node's are.
const [, options] = /^run = "node (.*?) ?target\//m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
// A cache made with other options would be refused at each start, without a word.
if (options === undefined) throw new Error('deploy/system.toml: no role runs a program of target/ with node')
execFileSync(process.execPath, [...options.split(' ').filter(Boolean), 'target/pepperwood-node.cjs', '--make-cache'], { cwd: rootPath, stdio: 'inherit' })
