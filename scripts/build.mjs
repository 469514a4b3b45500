// Bundles each program into a single file under dist/.
import { chmodSync } from 'node:fs'
import { build } from 'esbuild'
import { bundleOptions } from './bundleOptions.mjs'

const programs = {
  pepperwood: 'src/cli/main.ts',
  'pepperwood-gate': 'src/gate/main.ts',
  'pepperwood-steward': 'src/steward/main.ts',
  'pepperwood-standin': 'src/standin/main.ts',
  'pepperwood-load': 'src/load/main.ts'
}

await build({
  ...bundleOptions,
  entryPoints: Object.entries(programs).map(([out, entry]) => ({ in: entry, out })),
  outdir: 'dist',
  sourcemap: 'linked'
})

for (const name of Object.keys(programs)) chmodSync(`dist/${name}.js`, 0o755)
