/** The protocol's own words stand in codecs and clients; everywhere else the field's names are used. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isTestCode, readText, sourceFiles } from './repository.js';
import { findWireWords, type WireVocabulary } from './wire-words.js';

/**
 * The words of the protocol with users, workers, the cloud, the state service and other controllers, as far
 * as they aren't the field's own (`vcpus`, `zone`). The name of a lease on the wire, `permit`, is left out:
 * `Permit` is also what a duty gives for an effect.
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
    // state service
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

/** Where the words of the wire belong. */
const isWireModule = (path: string): boolean =>
  path.endsWith('codec.ts') || path === 'src/settings/schema.ts';

/**
 * Modules that are yet to be cleaned, with the words that they still use. The list only shrinks: a word that
 * is gone from its module has to go from here.
 */
const KNOWN_VIOLATIONS: Readonly<Record<string, readonly string[]>> = {};

test('wire words: they stand in codecs and clients only, or are listed as yet to be cleaned', () => {
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

test('wire words: they are found in names, properties and literals', () => {
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

test("wire words: the field's own names and ordinary English are left alone", () => {
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
