/**
 * Bundles the service and its libraries into one module, `target/main.js`. Without a bundle, a controller
 * that has a few percent of a core would need seconds to find and compile some two hundred files one by one.
 * Types are not checked here but by `npm run typecheck`.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

// Some libraries are CommonJS modules and load built-in modules of Node with `require`.
const defineRequire = [
  "import { createRequire as createRequireOfBundle } from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

rmSync('target', { recursive: true, force: true });
await build({
  entryPoints: ['src/main.ts'],
  outdir: 'target',
  bundle: true,
  // Modules that are imported dynamically go into separate chunks, not into the main module.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  banner: { js: defineRequire },
  logLevel: 'warning',
});
