/** Rules for imports between modules. `npm run lint` checks them. */
export default {
  forbidden: [
    {
      name: 'no-cycles-of-modules',
      comment: 'Modules that import each other, directly or through others, can only be read together.',
      severity: 'error',
      from: { pathNot: '^src/testing/' },
      to: { circular: true },
    },
    {
      name: 'no-cycles-of-slices',
      comment: 'Slices depend on each other in one direction; what both need lies below them.',
      severity: 'error',
      scope: 'folder',
      from: {},
      to: { circular: true },
    },
  ],
  options: {
    tsConfig: { fileName: 'tsconfig.test.json' },
    tsPreCompilationDeps: true,
    doNotFollow: { path: 'node_modules' },
    exclude: { path: ['node_modules', '[.]test[.]ts$', '^src/testing/'] },
  },
};
