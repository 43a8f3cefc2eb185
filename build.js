/**
 * Bundles the service and the libraries that it uses into one module, `target/main.js`. A controller with a few percent
 * of a core needs seconds to find and compile some two hundred files one by one. Types are checked by `npm run typecheck`.
 */
import { rmSync } from 'node:fs';
import { build } from 'esbuild';

// Some libraries are CommonJS and load modules of Node with `require`.
const defineRequire = [
  "import { createRequire as createRequireOfBundle } from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

rmSync('target', { recursive: true, force: true });
await build({
  entryPoints: ['src/main.ts'],
  outdir: 'target',
  bundle: true,
  // What is imported on demand stays out of the main module.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  banner: { js: defineRequire },
  logLevel: 'warning',
});
