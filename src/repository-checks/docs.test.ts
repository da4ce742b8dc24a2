/** Pages and comments name files and symbols that exist. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { codeSpans, columnOf, tablesOf } from './markdown.js';
import { resolvesToFile, looksLikePath, pathsInProse } from './paths.js';
import { isTestCode, pathExists, readText, repositoryFiles, sourceFiles } from './repository.js';
import { commentsOf, declaredNames, lineOf, parseModule } from './syntax.js';

const GLOSSARY = 'docs/glossary.md';
const ARCHITECTURE = 'docs/architecture.md';
const LOG_EVENTS = 'docs/log-events.md';
/** The column of the glossary whose names are checked; earlier names beside it are not. */
const NAME_COLUMN = 'name in the code';
const CHECKED_PAGES =
  /^(?:README|CONTRIBUTING|docs\/(?:architecture|glossary|operations-[\w-]+|design|fencing|log-events))\.md$/;

/**
 * Lost paths in comments that are yet to be put right. The list only shrinks: what is right has to go from
 * here.
 */
const KNOWN_BROKEN_PATHS: readonly string[] = [];

/** A name, also of a member (`Store.watch`) or a call (`mayAct()`). */
const SYMBOL = /^[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*(?:\(\))?$/;

const repositoryPaths = repositoryFiles();
const modules = sourceFiles().map((path) => parseModule(path, readText(path)));

const wordsOf = (span: string): readonly string[] => span.split(/[\s,;]+/);

/** Paths in the code spans of a page that lead nowhere. */
const findBrokenPaths = (page: string, text: string, known: readonly string[]): readonly string[] =>
  codeSpans(text)
    .flatMap(wordsOf)
    .filter((word) => looksLikePath(word) && !resolvesToFile(word, page, known));

/** Code spans that read as a symbol and whose parts are not all declared. */
const findUndeclaredSymbols = (cells: readonly string[], known: ReadonlySet<string>): readonly string[] =>
  cells
    .flatMap(codeSpans)
    .filter((span) => SYMBOL.test(span) && !looksLikePath(span))
    .filter(
      (span) =>
        !span
          .replace('()', '')
          .split('.')
          .every((part) => known.has(part)),
    );

interface BrokenPath {
  readonly line: number;
  readonly word: string;
}

/** Paths in comments that lead nowhere. */
const findBrokenPathsInComments = (
  path: string,
  text: string,
  known: readonly string[],
): readonly BrokenPath[] => {
  const module = parseModule(path, text);
  return commentsOf(module).flatMap((comment) => {
    const spans = codeSpans(comment.text).flatMap(wordsOf).filter(looksLikePath);
    return [...new Set([...spans, ...pathsInProse(comment.text)])]
      .filter((word) => !resolvesToFile(word, path, known))
      .map((word) => ({ line: lineOf(module, comment.start), word }));
  });
};

/** Event names read as symbols with a dot, and stand in a page of their own. */
const eventNames = (): readonly string[] =>
  pathExists(LOG_EVENTS)
    ? tablesOf(readText(LOG_EVENTS)).flatMap((table) => columnOf(table, 'event').flatMap(codeSpans))
    : [];

const declaredSymbols = new Set(modules.flatMap((module) => [...declaredNames(module)]));

for (const page of repositoryPaths.filter((path) => CHECKED_PAGES.test(path))) {
  test(`docs: paths in ${page} exist`, () => {
    assert.deepEqual(findBrokenPaths(page, readText(page), repositoryPaths), []);
  });
}

test('docs: paths in comments exist', () => {
  const sources = sourceFiles().filter((path) => !path.startsWith('src/repository-checks/'));
  assert.deepEqual(
    sources.flatMap((path) =>
      findBrokenPathsInComments(path, readText(path), repositoryPaths).map(({ word }) => `${path} ${word}`),
    ),
    KNOWN_BROKEN_PATHS,
  );
});

test('docs: names in the code that the glossary gives are declared', (context) => {
  if (!pathExists(GLOSSARY)) {
    context.skip(`${GLOSSARY} is not written yet`);
    return;
  }
  const cells = tablesOf(readText(GLOSSARY)).flatMap((table) => columnOf(table, NAME_COLUMN));
  assert.notEqual(cells.length, 0, `no table with a column "${NAME_COLUMN}"`);
  assert.deepEqual(findUndeclaredSymbols(cells, declaredSymbols), []);
});

test('docs: symbols in the tables of the architecture page are declared', (context) => {
  if (!pathExists(ARCHITECTURE)) {
    context.skip(`${ARCHITECTURE} is not written yet`);
    return;
  }
  const cells = tablesOf(readText(ARCHITECTURE)).flatMap((table) => table.rows.flat());
  assert.notEqual(cells.length, 0, 'no table');
  const events = new Set(eventNames());
  assert.deepEqual(
    findUndeclaredSymbols(cells, declaredSymbols).filter((symbol) => !events.has(symbol)),
    [],
  );
});

const KNOWN_FILES = ['docs/design.md', 'src/store/keys.ts', 'src/testing/scale.ts', 'src/store/keys.test.ts'];

test('docs: a path that is gone is found on a page, one that exists is not', () => {
  const page = [
    'See `src/store/keys.ts`, `store/keys.ts`, `keys.ts`, `src/store`, `docs/`, `docs/design.md` and `src/store/*.test.ts`,',
    'run `node target/testing/scale.js 20 1`, but `store/gone.ts`, `gone.ts`, `docs/gone.md` and `src/gone` are lost.',
    '```\n`gone/in/a/block.ts`\n```',
    'A key `w/c/<slot>`, a setting `cancel_s` and a name `Store.watch` are no paths.',
  ].join('\n');
  assert.deepEqual(findBrokenPaths('README.md', page, KNOWN_FILES), [
    'store/gone.ts',
    'gone.ts',
    'docs/gone.md',
    'src/gone',
  ]);
});

test('docs: a path that is gone is found in a comment, with and without backticks', () => {
  const text = [
    '/** Keys (`store/keys.ts`), see docs/design.md; (`mesh/level.ts`). */',
    'const name = `${1}/not/a/comment.ts`; // and store/gone.ts',
    '',
    '// `keys.ts` is beside this file.',
  ].join('\n');
  assert.deepEqual(findBrokenPathsInComments('src/store/limits.ts', text, KNOWN_FILES), [
    { line: 1, word: 'mesh/level.ts' },
    { line: 2, word: 'store/gone.ts' },
  ]);
});

test('docs: a name that is not declared is found', () => {
  const page = [
    '| term | name in the code | name before |',
    '| ---- | ---------------- | ----------- |',
    '| lease | `Lease`, `Lease.until`, `mayAct()`, `src/store/keys.ts` | `Tenure` |',
    '| claim | `Claim` (`Lease.gone`) and `until \\| null` | |',
  ].join('\n');
  const module = parseModule(
    'src/lease.ts',
    "import { Claim } from './claim.js';\n" +
      'interface Lease { readonly until: number }\n' +
      'export const mayAct = (lease: Lease): boolean => Claim.gone(lease);',
  );
  const cells = tablesOf(page).flatMap((table) => columnOf(table, NAME_COLUMN));
  assert.deepEqual(findUndeclaredSymbols(cells, declaredNames(module)), ['Claim', 'Lease.gone']);
});

test('docs: test code is told from the rest', () => {
  assert.deepEqual(
    ['src/a.ts', 'src/a.test.ts', 'src/testing/a.ts', 'packages/fencing/src/testing/a.ts'].map(isTestCode),
    [false, true, true, true],
  );
});
