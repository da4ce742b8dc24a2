import { test } from 'node:test';
import { RuleTester } from 'eslint';
import rule from './module-comment.js';

const COMMENT = '/** Reads settings. */';

test('module-comment: a module begins with a doc comment of its own', () => {
  new RuleTester().run('module-comment', rule, {
    valid: [
      `${COMMENT}\nimport 'node:fs';`,
      `${COMMENT}\n\n/** A number. */\nexport const number = 1;`,
      `${COMMENT}\nexport { a } from './a.js';`,
      `${COMMENT}\nexport * from './a.js';`,
      `#!/usr/bin/env node\n${COMMENT}\nimport 'node:fs';`,
      `/**\n * Reads settings.\n */\n\nexport const number = 1;`,
      COMMENT,
    ],
    invalid: [
      { code: `import 'node:fs';`, errors: [{ messageId: 'missing' }] },
      { code: `import 'node:fs';\n${COMMENT}\nexport const number = 1;`, errors: [{ messageId: 'missing' }] },
      { code: `// Reads settings.\nimport 'node:fs';`, errors: [{ messageId: 'missing' }] },
      { code: `/* Reads settings. */\nimport 'node:fs';`, errors: [{ messageId: 'missing' }] },
      { code: `${COMMENT}\nexport const number = 1;`, errors: [{ messageId: 'belongsToItem' }] },
      {
        code: `${COMMENT}\n/** A number. */\nexport const number = 1;`,
        errors: [{ messageId: 'belongsToItem' }],
      },
      { code: `/** */\nimport 'node:fs';`, errors: [{ messageId: 'empty' }] },
      { code: '', errors: [{ messageId: 'missing' }] },
    ],
  });
});
