/** Log events have one form of name, and the page that lists them is complete. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loggedEvents, type LoggedEvent } from './log-events.js';
import { codeSpans, columnOf, tablesOf, type Table } from './markdown.js';
import { isTestCode, readText, sourceFiles } from './repository.js';

const PAGE = 'docs/log-events.md';
const EVENT_NAME = /^[a-z][a-z0-9]*(?:_[a-z0-9]+)*\.[a-z][a-z0-9]*(?:_[a-z0-9]+)*$/;

interface LogCall extends LoggedEvent {
  readonly path: string;
}

const logCalls = sourceFiles()
  .filter((path) => !isTestCode(path))
  .flatMap((path) => loggedEvents(path, readText(path)).map((event): LogCall => ({ ...event, path })));

/** What the page must say of an event. */
interface EventEntry {
  readonly levels: readonly string[];
  readonly modules: readonly string[];
  readonly fields: readonly string[];
}

const sortedUnique = (texts: readonly string[]): readonly string[] => [...new Set(texts)].sort();

const loggedEntries = (list: readonly LogCall[]): Record<string, EventEntry> => {
  const names = sortedUnique(list.flatMap(({ name }) => name ?? []));
  return Object.fromEntries(
    names.map((name): [string, EventEntry] => {
      const same = list.filter((call) => call.name === name);
      return [
        name,
        {
          levels: sortedUnique(same.map(({ level }) => level)),
          modules: sortedUnique(same.map(({ path }) => path)),
          fields: sortedUnique(same.flatMap(({ fields }) => fields)),
        },
      ];
    }),
  );
};

/**
 * The page's entries. Of fields only those that the code writes out: others come from objects that it
 * spreads.
 */
const entriesOnPage = (
  table: Table,
  expected: Readonly<Record<string, EventEntry>>,
): Record<string, EventEntry> => {
  const column = (heading: string): readonly (readonly string[])[] => columnOf(table, heading).map(codeSpans);
  const [fields, modules] = [column('fields'), column('written by (module)')];
  const levels = columnOf(table, 'level').map((cell) => cell.split(', '));
  return Object.fromEntries(
    column('event').map(([name = ''], row): [string, EventEntry] => {
      const writtenOut = new Set(expected[name]?.fields);
      return [
        name,
        {
          levels: sortedUnique(levels[row] ?? []),
          modules: sortedUnique(modules[row] ?? []),
          fields: sortedUnique((fields[row] ?? []).filter((field) => writtenOut.has(field))),
        },
      ];
    }),
  );
};

/** Fields on the page that the code does not write, of events that spread no object. */
const fieldsNotLogged = (table: Table, list: readonly LogCall[]): readonly string[] => {
  const fields = columnOf(table, 'fields').map(codeSpans);
  return columnOf(table, 'event').flatMap((cell, row) => {
    const [name = ''] = codeSpans(cell);
    const same = list.filter((call) => call.name === name);
    if (same.some(({ hasSpread: spreads }) => spreads)) return [];
    const known = new Set(same.flatMap((call) => call.fields));
    return (fields[row] ?? []).filter((field) => !known.has(field)).map((field) => `${name}: ${field}`);
  });
};

const eventTable = (text: string): Table => {
  const table = tablesOf(text).find(({ header }) => header[0] === 'event');
  assert.ok(table, `${PAGE} has no table of events`);
  return table;
};

test('log events: each is written out, as subsystem.what_happened', () => {
  const wrong = logCalls.filter(({ name }) => name === null || !EVENT_NAME.test(name));
  assert.deepEqual(
    wrong.map(({ path, line, name }) => `${path}:${line} ${name ?? 'not written out'}`),
    [],
  );
});

test(`log events: ${PAGE} lists them all, with level, fields and modules, and no others`, () => {
  const table = eventTable(readText(PAGE));
  const expected = loggedEntries(logCalls);
  assert.deepEqual(entriesOnPage(table, expected), expected);
  assert.deepEqual(fieldsNotLogged(table, logCalls), []);
});

test('log events: an event of the page stands in one row, rows are in order', () => {
  const names = columnOf(eventTable(readText(PAGE)), 'event').flatMap(codeSpans);
  assert.deepEqual(names, sortedUnique(names));
});

test('log events: calls are read with level, name, fields and spreads', () => {
  const text = [
    "log.info({ event: 'share.taken', share: 1, claim });",
    "if (bad) log.error({ event: taken ? 'claim.take' : 'claim.hand', ...rest });",
    'log.debug({ event: `claim.${action}` });',
    "other.info({ event: 'not.logged' });",
  ].join('\n');
  assert.deepEqual(loggedEvents('src/example.ts', text), [
    { level: 'info', line: 1, name: 'share.taken', fields: ['share', 'claim'], spreads: false },
    { level: 'error', line: 2, name: 'claim.take', fields: [], spreads: true },
    { level: 'error', line: 2, name: 'claim.hand', fields: [], spreads: true },
    { level: 'debug', line: 3, name: null, fields: [], spreads: false },
  ]);
});

test('log events: names of another form are refused', () => {
  const names = [
    'claim.take',
    'rental_intent.settled',
    'Claim.take',
    'claim',
    'claim.take.late',
    'claim.tookIt',
  ];
  assert.deepEqual(
    names.filter((name) => EVENT_NAME.test(name)),
    ['claim.take', 'rental_intent.settled'],
  );
});
