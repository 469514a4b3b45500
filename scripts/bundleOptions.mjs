// How every program is bundled.
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  // Packages in CommonJS form ask for require, which a module has not by itself.
  banner: { js: "#!/usr/bin/env node\nimport { createRequire as createRequireOfBundle } from 'node:module'\nconst require = createRequireOfBundle(import.meta.url)" }
}
