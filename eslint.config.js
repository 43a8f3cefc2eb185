import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import simpleImportSort from 'eslint-plugin-simple-import-sort';
import tseslint from 'typescript-eslint';

/** Folders to which the strict rules below apply, one a line. */
const strictFolders = [
  'src/base',
  'src/blocks',
  'src/cloud',
  'src/controller',
  'src/dependencies',
  'src/intake',
  'src/ladder',
  'src/leadership',
  'src/model',
  'src/peers',
  'src/placement',
  'src/settings',
  'src/store',
  'src/wire',
  'src/workers',
];

const limits = {
  'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
  'max-lines-per-function': ['error', { max: 40, skipBlankLines: true, skipComments: true }],
  'max-depth': ['error', 3],
  'max-params': ['error', 5],
  complexity: ['error', 12],
};

const documentation = {
  'project/module-comment': 'error',
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: true,
      // The fixer would insert empty doc comments, which are worse than none: authors have to write them.
      enableFixer: false,
      require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: true },
      contexts: [
        'TSInterfaceDeclaration',
        'TSTypeAliasDeclaration',
        'ExportNamedDeclaration > VariableDeclaration',
        'MethodDefinition[kind="get"]',
      ],
      checkConstructors: false,
      checkGetters: true,
      checkSetters: false,
    },
  ],
  'jsdoc/no-types': 'error',
  'jsdoc/check-param-names': 'error',
  'jsdoc/check-tag-names': 'error',
};

/** Rule: each module begins with a doc comment that states its purpose. */
const moduleComment = {
  meta: {
    type: 'suggestion',
    messages: { missing: 'The module has no doc comment at its top.' },
    schema: [],
  },
  create(context) {
    return {
      Program(node) {
        const [comment] = context.sourceCode.getAllComments();
        const first = node.body[0];
        const isModuleComment =
          comment?.type === 'Block' &&
          comment.value.startsWith('*') &&
          (first === undefined || comment.range[1] <= first.range[0]);
        if (!isModuleComment) context.report({ node, messageId: 'missing' });
      },
    };
  },
};

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { project: './tsconfig.test.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      eqeqeq: 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] },
          ],
        },
      ],
    },
  },
  ...(strictFolders.length === 0
    ? []
    : [
        {
          files: strictFolders.map((folder) => `${folder}/**/*.ts`),
          extends: tseslint.configs.strictTypeChecked,
          plugins: { 'simple-import-sort': simpleImportSort },
          rules: {
            '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
            '@typescript-eslint/no-floating-promises': [
              'error',
              {
                allowForKnownSafeCalls: [
                  { from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] },
                ],
              },
            ],
            '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
            'simple-import-sort/imports': 'error',
            'simple-import-sort/exports': 'error',
          },
        },
        {
          files: strictFolders.map((folder) => `${folder}/**/*.ts`),
          ignores: ['**/*.test.ts'],
          plugins: { jsdoc, project: { rules: { 'module-comment': moduleComment } } },
          rules: { ...limits, ...documentation },
        },
      ]),
  {
    files: ['eslint.config.js', 'build.js', '.dependency-cruiser.js'],
    ...tseslint.configs.disableTypeChecked,
  },
);
