/** Lint rules, grouped by purpose. Prettier formats the code. */
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import moduleComment from './eslint/module-comment.js';

/**
 * Folders and files that meet the strict rules. Modules are adapted one after the other, so the list only
 * grows. Once it has every module, the strict rules apply to the whole tree and the list is removed.
 */
const strictModules = [
  'packages/fencing',
  'src/cancellation',
  'src/claims',
  'src/cli',
  'src/concurrency',
  'src/constants',
  'src/controller',
  'src/duties',
  'src/fleet',
  'src/http',
  'src/jobs',
  'src/kv-store',
  'src/log.ts',
  'src/main.ts',
  'src/peers',
  'src/pipelines',
  'src/placement',
  'src/repository-checks',
  'src/settings',
  'src/workers',
];

/** One glob per entry: a folder covers all files below it. */
const strictFiles = strictModules.map((path) => (path.endsWith('.ts') ? path : `${path}/**/*.ts`));

const TEST_FILES = ['**/*.test.ts'];
/** Files that use names of the wire protocols and of the settings file. Tests have examples of both. */
const WIRE_FILES = [
  ...TEST_FILES,
  '**/*codec.ts',
  'src/settings/schema.ts',
  'src/fleet/cloud.ts',
  'src/testing/**/*.ts',
];
/** The strictly checked files among them: both patterns of a pair must match. */
const strictWireFiles = WIRE_FILES.flatMap((wire) => strictFiles.map((strict) => [wire, strict]));

/** Maximum line width, in columns. It equals Prettier's `printWidth`; Prettier does not wrap comments. */
const LINE_WIDTH = 110;
/** Maximum lines of a function, without blank lines and comments. */
const FUNCTION_LINES = 60;
/** Maximum lines of a module, without blank lines and comments: in strictly checked files, and elsewhere. */
const MODULE_LINES = 300;
const OTHER_MODULE_LINES = 460;

/** Rules for all modules: mistakes that the types reveal, and bounds on size and complexity. */
const allModules = {
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
    'max-lines': ['error', { max: OTHER_MODULE_LINES, skipBlankLines: true, skipComments: true }],
  },
};

/** Each exported item has a doc comment. */
const itemComments = {
  files: ['**/*.ts'],
  plugins: { jsdoc },
  rules: {
    'jsdoc/no-blank-blocks': 'error',
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: true,
        enableFixer: false,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: [
          'TSEnumDeclaration',
          'TSInterfaceDeclaration',
          'TSTypeAliasDeclaration',
          'VariableDeclaration',
        ],
      },
    ],
  },
};

/** Each module begins with a doc comment that states its purpose. */
const moduleComments = {
  files: strictFiles,
  plugins: { dalegate: { rules: { 'module-comment': moduleComment } } },
  rules: { 'dalegate/module-comment': 'error' },
};

/** Comments have the same maximum width as code. */
const commentWidth = {
  files: strictFiles,
  rules: {
    'max-len': ['error', { code: Number.MAX_SAFE_INTEGER, comments: LINE_WIDTH, ignoreUrls: true }],
  },
};

/** Bounds on the size of modules and functions: one task per module, one step per function. */
const size = {
  files: strictFiles,
  rules: {
    'max-lines': ['error', { max: MODULE_LINES, skipBlankLines: true, skipComments: true }],
    'max-lines-per-function': [
      'error',
      { max: FUNCTION_LINES, skipBlankLines: true, skipComments: true, IIFEs: true },
    ],
  },
};

/** The case of a name shows what kind of item it names. */
const namingConvention = [
  { selector: 'default', format: ['camelCase'], leadingUnderscore: 'forbid' },
  { selector: 'import', format: ['camelCase', 'PascalCase'] },
  { selector: 'typeLike', format: ['PascalCase'] },
  { selector: 'enumMember', format: ['PascalCase'] },
  { selector: 'variable', format: ['camelCase', 'UPPER_CASE'] },
  // A schema of the `effect` package has the same name as the type that it describes.
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
  // Unused parameters that a signature requires may begin with an underscore.
  { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
  { selector: 'memberLike', format: ['camelCase', 'UPPER_CASE'], leadingUnderscore: 'forbid' },
  // The `effect` package uses `_tag` as the discriminant of a union.
  ...['memberLike', 'parameter', 'variable'].map((selector) => ({
    selector,
    filter: { regex: '^_tag$', match: true },
    format: null,
  })),
  // Quoted names are not checked: header names, key names, numbers.
  { selector: 'memberLike', modifiers: ['requiresQuotes'], format: null },
];
const naming = {
  files: strictFiles,
  rules: { '@typescript-eslint/naming-convention': ['error', ...namingConvention] },
};

/** The wire protocols prescribe their field names, so the naming rule does not apply to them. */
const wireFields = { selector: ['typeProperty', 'objectLiteralProperty'], format: null };
const wireNaming = {
  files: strictWireFiles,
  rules: { '@typescript-eslint/naming-convention': ['error', ...namingConvention, wireFields] },
};

/** Options that differ from the strict rule sets of typescript-eslint. */
const strictTypes = {
  rules: {
    // A number in a template is formatted as expected.
    '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    // Timers and listeners are written as `() => wake()`.
    '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
  },
};

/**
 * Rules of the strict rule sets that some modules don't meet yet. They apply to strictly checked files only.
 */
const strictOnlyRules = [
  '@typescript-eslint/consistent-generic-constructors',
  '@typescript-eslint/dot-notation',
  '@typescript-eslint/no-confusing-void-expression',
  '@typescript-eslint/no-unnecessary-condition',
  '@typescript-eslint/no-unnecessary-type-parameters',
  '@typescript-eslint/non-nullable-type-assertion-style',
  '@typescript-eslint/prefer-optional-chain',
];
const relaxedRules = {
  files: ['**/*.ts'],
  ignores: strictFiles,
  rules: Object.fromEntries(strictOnlyRules.map((rule) => [rule, 'off'])),
};

/** A test has all its steps in one function and may have long tables of cases. */
const testSize = {
  files: TEST_FILES,
  rules: {
    'max-lines': ['error', { max: OTHER_MODULE_LINES, skipBlankLines: true, skipComments: true }],
    'max-lines-per-function': 'off',
  },
};

export default tseslint.config(
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  strictTypes,
  relaxedRules,
  allModules,
  itemComments,
  moduleComments,
  commentWidth,
  size,
  naming,
  wireNaming,
  testSize,
);
