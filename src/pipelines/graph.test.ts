/**
 * Tests of the pipeline index, as tables of events and what the index then tells, and of packed lists of ids.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Priority } from '../jobs/model.js';
import { packIds, splitIds, unpackIds } from './codec.js';
import { PipelineIndex, type PipelineJob } from './graph.js';

const STAGE_MS = 1_000;
const job = (
  id: string,
  dependsOn: readonly string[] = [],
  over: Partial<PipelineJob> = {},
): PipelineJob => ({
  id,
  dependsOn,
  priority: 0,
  dueAt: null,
  estimateMs: 10_000,
  cancelled: false,
  ...over,
});
type Event =
  | { readonly put: PipelineJob }
  | { readonly gone: string }
  | { readonly done: string; readonly at: number }
  | { readonly cancelled: string };
const put = (...args: Parameters<typeof job>): Event => ({ put: job(...args) });

const indexAfter = (events: readonly Event[]): PipelineIndex => {
  const index = new PipelineIndex(STAGE_MS);
  for (const event of events) {
    if ('put' in event) index.put(event.put);
    else if ('gone' in event) index.remove(event.gone);
    else if ('done' in event) index.setOutcome(event.done, { _tag: 'done', at: event.at });
    else index.setOutcome(event.cancelled, { _tag: 'cancelled' });
  }
  return index;
};

const rows: readonly { name: string; events: readonly Event[]; of: string; says: string }[] = [
  { name: 'a job that follows none is ready', events: [put('a')], of: 'a', says: 'ready 0' },
  { name: 'one is not done', events: [put('a'), put('b', ['a'])], of: 'b', says: 'waiting' },
  // Its record goes with its final record, but which one is known only from that.
  {
    name: 'one is over, and what became of it not known',
    events: [put('a'), put('b', ['a']), { gone: 'a' }],
    of: 'b',
    says: 'waiting',
  },
  {
    name: 'the last of two is done',
    events: [put('c', ['a', 'b']), { done: 'a', at: 70 }, { done: 'b', at: 50 }],
    of: 'c',
    says: 'ready 70',
  },
  {
    name: 'only one of two is done',
    events: [put('c', ['a', 'b']), { done: 'a', at: 70 }],
    of: 'c',
    says: 'waiting',
  },
  {
    name: 'done before the job that follows came',
    events: [put('x', ['a']), { done: 'a', at: 9 }, put('b', ['a'])],
    of: 'b',
    says: 'ready 9',
  },
  {
    name: 'cancelled while others are done',
    events: [put('c', ['a', 'b']), { done: 'a', at: 7 }, { cancelled: 'b' }],
    of: 'c',
    says: 'doomed',
  },
  {
    name: 'cancelled in its record, not yet in a final one',
    events: [put('a'), put('b', ['a']), put('a', [], { cancelled: true })],
    of: 'b',
    says: 'doomed',
  },
  {
    name: 'through others, however far',
    events: [put('a'), put('b', ['a']), put('c', ['b']), put('d', ['c']), { cancelled: 'a' }],
    of: 'd',
    says: 'doomed',
  },
  {
    name: 'it comes when what it names is cancelled',
    events: [put('a', [], { cancelled: true }), put('b', ['a'])],
    of: 'b',
    says: 'doomed',
  },
  {
    name: 'it comes when what it names is doomed',
    events: [put('a', [], { cancelled: true }), put('b', ['a']), put('c', ['b'])],
    of: 'c',
    says: 'doomed',
  },
  {
    name: 'it comes when what it names was cancelled and is over, as far as anybody still follows that',
    events: [put('a', [], { cancelled: true }), put('b', ['a']), { gone: 'a' }, put('c', ['a'])],
    of: 'c',
    says: 'doomed',
  },
  // A late or repeated message must not make a ready job wait, nor a doomed one run.
  {
    name: 'its record seen again',
    events: [put('b', ['a']), { done: 'a', at: 3 }, put('b', ['a'])],
    of: 'b',
    says: 'ready 3',
  },
  {
    name: 'doomed stays doomed',
    events: [put('c', ['a', 'b']), { cancelled: 'a' }, { done: 'b', at: 3 }],
    of: 'c',
    says: 'doomed',
  },
];
for (const row of rows) {
  test(`readiness: ${row.name}`, () => {
    const found = indexAfter(row.events).readiness(row.of);
    assert.equal(found._tag === 'ready' ? `ready ${found.since}` : found._tag, row.says);
  });
}

const urgent = (
  id: string,
  dependsOn: readonly string[],
  dueAt: number | null,
  priority: Priority = 2,
): Event => put(id, dependsOn, { priority, dueAt });
const effectivePriorities: readonly {
  name: string;
  events: readonly Event[];
  of: string;
  priority: Priority;
  dueAt: number | null;
}[] = [
  { name: 'its own', events: [urgent('a', [], 500, 1)], of: 'a', priority: 1, dueAt: 500 },
  {
    name: 'of the last one, with the time that those between take',
    events: [put('a'), put('b', ['a']), urgent('c', ['b'], 100_000)],
    of: 'a',
    priority: 2,
    dueAt: 100_000 - 2 * (10_000 + STAGE_MS),
  },
  {
    name: 'its own is higher and earlier',
    events: [urgent('a', [], 50_000, 3), urgent('b', ['a'], 100_000)],
    of: 'a',
    priority: 3,
    dueAt: 50_000,
  },
  {
    name: 'of several the highest and the earliest',
    events: [put('a'), urgent('b', ['a'], 100_000, 1), urgent('c', ['a'], 200_000, 2)],
    of: 'a',
    priority: 2,
    dueAt: 100_000 - 10_000 - STAGE_MS,
  },
  {
    name: 'no more of one that is over',
    events: [put('a'), urgent('b', ['a'], 100_000), { gone: 'b' }],
    of: 'a',
    priority: 0,
    dueAt: null,
  },
  {
    name: 'nor of one that is cancelled, also further on',
    events: [
      put('a'),
      put('b', ['a']),
      urgent('c', ['b'], 100_000),
      put('c', ['b'], { priority: 2, dueAt: 100_000, cancelled: true }),
    ],
    of: 'a',
    priority: 0,
    dueAt: null,
  },
];
for (const row of effectivePriorities) {
  test(`effective priority: ${row.name}`, () =>
    assert.deepEqual(indexAfter(row.events).effectivePriority(row.of), {
      priority: row.priority,
      dueAt: row.dueAt,
    }));
}

// Each dependant that comes or goes costs what it changes, not the whole index.
test('effective priority: only what changes is told', () => {
  const index = indexAfter([put('a'), put('b', ['a']), put('other'), urgent('c', ['b'], 100_000)]);
  assert.deepEqual([...index.put(job('d', ['b'], { priority: 1 }))], ['d']);
  assert.deepEqual([...index.remove('c')].sort(), ['a', 'b']);
});

const lists: readonly (readonly string[])[] = [
  ['job-000398'],
  ['job-000405', 'job-000398', 'job-000398'],
  ['job-1', 'job-000001', 'job-01', 'job-999999999999999999', 'job-000000000000000000'],
  Array.from({ length: 3_000 }, (_, k) => `job-${String(k * 337).padStart(7, '0')}`),
];
for (const ids of lists) {
  test(`packed ids of ${ids.length}: kept whole, also in parts, each below its size`, () => {
    const wanted = [...new Set(ids)].sort();
    assert.deepEqual([...unpackIds(packIds(ids))].sort(), wanted);
    const parts = splitIds(ids, 400);
    assert.deepEqual(parts.flatMap((part) => unpackIds(packIds(part))).sort(), wanted);
    for (const part of parts) assert.ok(JSON.stringify(packIds(part)).length <= 400 + 8);
  });
}
