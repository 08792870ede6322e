import importPlugin from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

const DEEP_IMPORTS = {
  group: ['@medlarlane/*/*'],
  message: 'Import a package by its name.',
};
const PROCESS_CONTROL = {
  group: ['node:cluster', 'cluster'],
  message: 'Clustering of the runtime is not used.',
};

export default tseslint.config(
  {ignores: ['**/target/**', '**/lib/**', '**/node_modules/**', '**/gen/**', '**/*.mjs']},
  ...tseslint.configs.recommended,
  {
    plugins: {'import-x': importPlugin},
    linterOptions: {reportUnusedDisableDirectives: 'error'},
    languageOptions: {parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname}},
    rules: {
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', {checksVoidReturn: false}],
      '@typescript-eslint/no-namespace': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'import-x/no-default-export': 'error',
      'import-x/no-cycle': 'error',
      'no-restricted-imports': ['error', {patterns: [PROCESS_CONTROL, DEEP_IMPORTS]}],
      'no-restricted-properties': [
        'error',
        {
          object: 'AbortSignal',
          property: 'any',
          message: 'Use linkAbort of @medlarlane/lifecycle.',
        },
      ],
      'no-var': 'error',
      'prefer-const': 'error',
    },
  },
  {
    files: ['routing/**/*.ts', 'targets/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            PROCESS_CONTROL,
            DEEP_IMPORTS,
            {
              group: [
                '@medlarlane/log-store',
                '@medlarlane/consensus',
                '@medlarlane/control-state',
              ],
              message: 'Routing learns control state through the control client only.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/test/**/*.ts'],
    // node:test registers tests by calls whose promises are not awaited.
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
);
