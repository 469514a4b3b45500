// Bundles each program into one file under dist/.
import { chmodSync } from 'node:fs'
import { build } from 'esbuild'

const programs = {
  pepperwood: 'src/cli/main.ts',
  'pepperwood-gate': 'src/gate/main.ts',
  'pepperwood-steward': 'src/steward/main.ts',
  'pepperwood-standin': 'src/standin/main.ts',
  'pepperwood-load': 'src/load/main.ts'
}

await build({
  entryPoints: Object.entries(programs).map(([out, entry]) => ({ in: entry, out })),
  outdir: 'dist',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  logLevel: 'warning',
  // Packages in CommonJS form ask for require, which a module has not by itself.
  banner: { js: "#!/usr/bin/env node\nimport { createRequire as createRequireOfBundle } from 'node:module'\nconst require = createRequireOfBundle(import.meta.url)" }
})

for (const name of Object.keys(programs)) chmodSync(`dist/${name}.js`, 0o755)
