// Bundles the node that runs on the platform into one file under target/.
import { build } from 'esbuild'
import { bundleOptions } from './bundleOptions.mjs'

await build({ ...bundleOptions, entryPoints: [{ in: 'platform/main.ts', out: 'pepperwood-node' }], outdir: 'target', minify: true, sourcemap: false })
