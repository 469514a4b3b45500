// Options of esbuild for every program.
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  // Bundled CommonJS packages call require, which ES modules do not provide.
  banner: { js: "#!/usr/bin/env node\nimport { createRequire as createRequireOfBundle } from 'node:module'\nconst require = createRequireOfBundle(import.meta.url)" }
}
