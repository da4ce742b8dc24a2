/** Lint rules, in groups by what they keep; formatting is Prettier's matter. */
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import moduleComment from './eslint/module-comment.js';

/**
 * Folders and files that meet the stricter rules. Modules are cleaned one after the other; the list only grows, and
 * once it names every module the stricter rules hold for the whole tree and it goes.
 */
const cleanedModules = [
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

/** A glob for each entry: a folder stands for all that is below it. */
const cleanedFiles = cleanedModules.map((path) => (path.endsWith('.ts') ? path : `${path}/**/*.ts`));

const TEST_FILES = ['**/*.test.ts'];
/** Where names of the wire and of the settings file stand; tests hold examples of both. */
const WIRE_FILES = [
  ...TEST_FILES,
  '**/*codec.ts',
  'src/settings/schema.ts',
  'src/fleet/cloud.ts',
  'src/testing/**/*.ts',
];
/** Cleaned ones among them: both patterns of a pair must match. */
const cleanedWireFiles = WIRE_FILES.flatMap((wire) => cleanedFiles.map((cleaned) => [wire, cleaned]));

/** Width of a line, in columns; Prettier's `printWidth`, which leaves comments as they are. */
const LINE_WIDTH = 110;
/** Lines of a function without blank ones and comments. */
const FUNCTION_LINES = 60;
/** Lines of a module without blank ones and comments: in cleaned modules, and elsewhere. */
const MODULE_LINES = 300;
const UNCLEANED_MODULE_LINES = 460;

/** Mistakes that types show, and bounds that every module keeps. */
const everywhere = {
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
    'max-lines': ['error', { max: UNCLEANED_MODULE_LINES, skipBlankLines: true, skipComments: true }],
  },
};

/** The line above each exported item says what it is for. */
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

/** A reader learns from a module's first lines what it is for. */
const moduleComments = {
  files: cleanedFiles,
  plugins: { dalegate: { rules: { 'module-comment': moduleComment } } },
  rules: { 'dalegate/module-comment': 'error' },
};

/** Comments are as narrow as code. */
const commentWidth = {
  files: cleanedFiles,
  rules: {
    'max-len': ['error', { code: Number.MAX_SAFE_INTEGER, comments: LINE_WIDTH, ignoreUrls: true }],
  },
};

/** One job a module, one step a function. */
const size = {
  files: cleanedFiles,
  rules: {
    'max-lines': ['error', { max: MODULE_LINES, skipBlankLines: true, skipComments: true }],
    'max-lines-per-function': [
      'error',
      { max: FUNCTION_LINES, skipBlankLines: true, skipComments: true, IIFEs: true },
    ],
  },
};

/** A name's case tells what it is. */
const namingConvention = [
  { selector: 'default', format: ['camelCase'], leadingUnderscore: 'forbid' },
  { selector: 'import', format: ['camelCase', 'PascalCase'] },
  { selector: 'typeLike', format: ['PascalCase'] },
  { selector: 'enumMember', format: ['PascalCase'] },
  { selector: 'variable', format: ['camelCase', 'UPPER_CASE'] },
  // A schema of `effect` has the name of the type that it describes.
  { selector: 'variable', modifiers: ['const', 'global'], format: ['camelCase', 'UPPER_CASE', 'PascalCase'] },
  // Parameters that a signature asks for and nobody reads.
  { selector: 'parameter', format: ['camelCase'], leadingUnderscore: 'allow' },
  { selector: 'memberLike', format: ['camelCase', 'UPPER_CASE'], leadingUnderscore: 'forbid' },
  // `_tag` is the name that `effect` gives the discriminant of a union.
  ...['memberLike', 'parameter', 'variable'].map((selector) => ({
    selector,
    filter: { regex: '^_tag$', match: true },
    format: null,
  })),
  // Header names, key names, numbers.
  { selector: 'memberLike', modifiers: ['requiresQuotes'], format: null },
];
const naming = {
  files: cleanedFiles,
  rules: { '@typescript-eslint/naming-convention': ['error', ...namingConvention] },
};

/** The wire's field names are not this project's to choose. */
const wireFields = { selector: ['typeProperty', 'objectLiteralProperty'], format: null };
const wireNaming = {
  files: cleanedWireFiles,
  rules: { '@typescript-eslint/naming-convention': ['error', ...namingConvention, wireFields] },
};

/** The strict sets of typescript-eslint, with what differs here. */
const strictTypes = {
  rules: {
    // A number in a message reads as it should.
    '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
    // `() => wake()` is how timers and listeners are written.
    '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
  },
};

/** Rules of the strict sets that some modules don't meet yet: they hold in cleaned ones only. */
const rulesOfCleanedModules = [
  '@typescript-eslint/consistent-generic-constructors',
  '@typescript-eslint/dot-notation',
  '@typescript-eslint/no-confusing-void-expression',
  '@typescript-eslint/no-unnecessary-condition',
  '@typescript-eslint/no-unnecessary-type-parameters',
  '@typescript-eslint/non-nullable-type-assertion-style',
  '@typescript-eslint/prefer-optional-chain',
];
const untilCleaned = {
  files: ['**/*.ts'],
  ignores: cleanedFiles,
  rules: Object.fromEntries(rulesOfCleanedModules.map((rule) => [rule, 'off'])),
};

/** A test's steps stand in one function, and its tables are long. */
const testSize = {
  files: TEST_FILES,
  rules: {
    'max-lines': ['error', { max: UNCLEANED_MODULE_LINES, skipBlankLines: true, skipComments: true }],
    'max-lines-per-function': 'off',
  },
};

export default tseslint.config(
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  strictTypes,
  untilCleaned,
  everywhere,
  itemComments,
  moduleComments,
  commentWidth,
  size,
  naming,
  wireNaming,
  testSize,
);
