/** Checks the form of log event names, and that the page of log events is complete. */
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

/** The properties of an event that the page must list. */
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
 * Returns the page's entries, with only those fields that the code lists explicitly. Other fields come from
 * objects that the code spreads.
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

/** Returns the fields on the page that the code does not log, except for events that spread an object. */
const fieldsNotLogged = (table: Table, list: readonly LogCall[]): readonly string[] => {
  const fields = columnOf(table, 'fields').map(codeSpans);
  return columnOf(table, 'event').flatMap((cell, row) => {
    const [name = ''] = codeSpans(cell);
    const same = list.filter((call) => call.name === name);
    if (same.some(({ hasSpread }) => hasSpread)) return [];
    const known = new Set(same.flatMap((call) => call.fields));
    return (fields[row] ?? []).filter((field) => !known.has(field)).map((field) => `${name}: ${field}`);
  });
};

const eventTable = (text: string): Table => {
  const table = tablesOf(text).find(({ header }) => header[0] === 'event');
  assert.ok(table, `${PAGE} has no table of events`);
  return table;
};

test('log events: each name is a literal of the form subsystem.what_happened', () => {
  const wrong = logCalls.filter(({ name }) => name === null || !EVENT_NAME.test(name));
  assert.deepEqual(
    wrong.map(({ path, line, name }) => `${path}:${line} ${name ?? 'the event name is not a literal'}`),
    [],
  );
});

test(`log events: ${PAGE} lists exactly the logged events, with level, fields and modules`, () => {
  const table = eventTable(readText(PAGE));
  const expected = loggedEntries(logCalls);
  assert.deepEqual(entriesOnPage(table, expected), expected);
  assert.deepEqual(fieldsNotLogged(table, logCalls), []);
});

test('log events: each event has one row on the page, and rows are sorted', () => {
  const names = columnOf(eventTable(readText(PAGE)), 'event').flatMap(codeSpans);
  assert.deepEqual(names, sortedUnique(names));
});

test('log events: level, name, fields and spreads of log calls are parsed', () => {
  const text = [
    "log.info({ event: 'share.taken', share: 1, claim });",
    "if (bad) log.error({ event: taken ? 'claim.take' : 'claim.hand', ...rest });",
    'log.debug({ event: `claim.${action}` });',
    "other.info({ event: 'not.logged' });",
  ].join('\n');
  assert.deepEqual(loggedEvents('src/example.ts', text), [
    { level: 'info', line: 1, name: 'share.taken', fields: ['share', 'claim'], hasSpread: false },
    { level: 'error', line: 2, name: 'claim.take', fields: [], hasSpread: true },
    { level: 'error', line: 2, name: 'claim.hand', fields: [], hasSpread: true },
    { level: 'debug', line: 3, name: null, fields: [], hasSpread: false },
  ]);
});

test('log events: names of another form are rejected', () => {
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
