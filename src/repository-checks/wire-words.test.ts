/** Checks that only codecs use the wire protocols' own words; all other code uses standard terms. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isTestCode, readText, sourceFiles } from './repository.js';
import { findWireWords, type WireVocabulary } from './wire-words.js';

/**
 * The words of the protocols with users, workers, the cloud, the key-value store and other controllers,
 * except standard terms (`vcpus`, `zone`). `permit`, the name of a lease on the wire, is not listed, because
 * a duty also issues a `Permit` for an effect.
 */
const VOCABULARY: WireVocabulary = {
  unambiguous: [
    // users
    'herd',
    'brand',
    'breed',
    'breeds',
    'paddock',
    'paddocks',
    'agistment',
    'muster',
    'withdrawn',
    'due s',
    // workers
    'drover',
    'drovers',
    'stint',
    'tally',
    'crook',
    'boss',
    'warning s',
    'pulling',
    'gathering',
    'halted',
    'reap',
    'settle s',
    // cloud
    'hire',
    'sku',
    'market price',
    'local gb',
    'pull gb',
    'ready s',
    // key-value store
    'epoch',
    'brand mark',
    // controllers
    'beat',
    'heed',
    'heeded',
    // settings
    'sibling',
    'siblings',
    'mesh',
  ],
  ambiguous: ['area', 'head', 'heads', 'scatter', 'sweep', 'together'],
  allowedTerms: ['agent epoch'],
  paths: ['/follow', '/hello', '/holds'],
};

/** Returns whether a module may use the words of the wire protocols. */
const isWireModule = (path: string): boolean =>
  path.endsWith('codec.ts') || path === 'src/settings/schema.ts';

/**
 * Modules that still use wire words, with those words. The list only shrinks: the test fails while it has a
 * word that its module no longer uses.
 */
const KNOWN_VIOLATIONS: Readonly<Record<string, readonly string[]>> = {};

test('wire words: only codecs use them, except for known violations', () => {
  const found: Record<string, readonly string[]> = {};
  for (const path of sourceFiles()) {
    if (isWireModule(path) || isTestCode(path)) continue;
    const words = findWireWords(path, readText(path), VOCABULARY).map(({ word }) => word);
    if (words.length > 0) found[path] = [...new Set(words)].sort();
  }
  assert.deepEqual(found, KNOWN_VIOLATIONS);
});

const wordsOf = (text: string): readonly string[] =>
  findWireWords('src/example.ts', text, VOCABULARY).map(({ word, line }) => `${line} ${word}`);

test('wire words: names, properties and literals that use them are reported', () => {
  const text = [
    "import { hire } from './mesh/hire.js';",
    'const brandMark = 1;',
    'const HIRE_MAX = 50;',
    'interface Raw { paddocks: string[]; heads: number; musterEveryS: number }',
    "send('/hello', { boss: null, agistment }, `/holds/${1}/renew`, '/follow?under=x');",
    "if (shape === 'sweep') answer.drover_id;",
  ].join('\n');
  assert.deepEqual(wordsOf(text), [
    '1 hire',
    '2 brand',
    '2 brand mark',
    '3 hire',
    '4 paddocks',
    '4 heads',
    '4 muster',
    '5 /hello',
    '5 boss',
    '5 agistment',
    '5 /holds',
    '5 /follow',
    '6 sweep',
    '6 drover',
  ]);
});

test('wire words: standard terms and ordinary English are not reported', () => {
  const text = [
    '// A herd of cattle in a comment.',
    'const heartbeat = { holds: [], headers: {}, readySince: 1, settled: true };',
    'const sweep = setInterval(() => undefined, 1);',
    'const { head, together } = queue;',
    "const path = '/beats' + '/holdings' + elsewhere;",
    'const follows = permit.mayProceed();',
  ].join('\n');
  assert.deepEqual(wordsOf(text), []);
});
