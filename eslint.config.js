import tseslint from 'typescript-eslint';

export default tseslint.config(...tseslint.configs.recommendedTypeChecked, {
  languageOptions: { parserOptions: { projectService: true } },
  rules: {
    '@typescript-eslint/switch-exhaustiveness-check': 'error',
    '@typescript-eslint/explicit-module-boundary-types': 'error',
    '@typescript-eslint/no-floating-promises': [
      'error',
      {
        allowForKnownSafeCalls: [{ from: 'package', name: ['test', 'it', 'describe'], package: 'node:test' }],
      },
    ],
    'max-depth': ['error', 4],
    'max-params': ['error', 7],
    complexity: ['error', 25],
    'max-lines': ['error', { max: 460, skipBlankLines: true, skipComments: true }],
  },
});
