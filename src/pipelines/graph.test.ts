/**
 * Tests of the pipeline index, as tables of events and the state of the index after them, and of packed ids.
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
  overrides: Partial<PipelineJob> = {},
): PipelineJob => ({
  id,
  dependsOn,
  priority: 0,
  dueAt: null,
  estimateMs: 10_000,
  cancelled: false,
  ...overrides,
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

const rows: readonly { name: string; events: readonly Event[]; of: string; expected: string }[] = [
  { name: 'without dependencies', events: [put('a')], of: 'a', expected: 'ready 0' },
  { name: 'a dependency is not done', events: [put('a'), put('b', ['a'])], of: 'b', expected: 'waiting' },
  // The record of a job is deleted by the transaction that writes its final record, but only the final record
  // has the outcome.
  {
    name: 'a dependency has ended with an unknown outcome',
    events: [put('a'), put('b', ['a']), { gone: 'a' }],
    of: 'b',
    expected: 'waiting',
  },
  {
    name: 'both dependencies are done',
    events: [put('c', ['a', 'b']), { done: 'a', at: 70 }, { done: 'b', at: 50 }],
    of: 'c',
    expected: 'ready 70',
  },
  {
    name: 'only one of two dependencies is done',
    events: [put('c', ['a', 'b']), { done: 'a', at: 70 }],
    of: 'c',
    expected: 'waiting',
  },
  {
    name: 'a dependency was done before the job was added',
    events: [put('x', ['a']), { done: 'a', at: 9 }, put('b', ['a'])],
    of: 'b',
    expected: 'ready 9',
  },
  {
    name: 'one dependency is done, the other cancelled',
    events: [put('c', ['a', 'b']), { done: 'a', at: 7 }, { cancelled: 'b' }],
    of: 'c',
    expected: 'dependencyCancelled',
  },
  {
    name: 'a dependency is cancelled in its record, not yet in its final record',
    events: [put('a'), put('b', ['a']), put('a', [], { cancelled: true })],
    of: 'b',
    expected: 'dependencyCancelled',
  },
  {
    name: 'an indirect dependency is cancelled',
    events: [put('a'), put('b', ['a']), put('c', ['b']), put('d', ['c']), { cancelled: 'a' }],
    of: 'd',
    expected: 'dependencyCancelled',
  },
  {
    name: 'added after its dependency was cancelled',
    events: [put('a', [], { cancelled: true }), put('b', ['a'])],
    of: 'b',
    expected: 'dependencyCancelled',
  },
  {
    name: 'added after an indirect dependency was cancelled',
    events: [put('a', [], { cancelled: true }), put('b', ['a']), put('c', ['b'])],
    of: 'c',
    expected: 'dependencyCancelled',
  },
  {
    name: 'added after its dependency was cancelled and has ended, while another job depends on that',
    events: [put('a', [], { cancelled: true }), put('b', ['a']), { gone: 'a' }, put('c', ['a'])],
    of: 'c',
    expected: 'dependencyCancelled',
  },
  // A late or repeated message must not make a ready job wait, nor a job with a cancelled dependency run.
  {
    name: 'added again after its dependency was done',
    events: [put('b', ['a']), { done: 'a', at: 3 }, put('b', ['a'])],
    of: 'b',
    expected: 'ready 3',
  },
  {
    name: 'a dependency is done after another was cancelled',
    events: [put('c', ['a', 'b']), { cancelled: 'a' }, { done: 'b', at: 3 }],
    of: 'c',
    expected: 'dependencyCancelled',
  },
];
for (const row of rows) {
  test(`readiness: ${row.name}`, () => {
    const found = indexAfter(row.events).readiness(row.of);
    assert.equal(found._tag === 'ready' ? `ready ${found.since}` : found._tag, row.expected);
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
  {
    name: 'of a job without dependants',
    events: [urgent('a', [], 500, 1)],
    of: 'a',
    priority: 1,
    dueAt: 500,
  },
  {
    name: 'of an indirect dependant, less the time of the stages between',
    events: [put('a'), put('b', ['a']), urgent('c', ['b'], 100_000)],
    of: 'a',
    priority: 2,
    dueAt: 100_000 - 2 * (10_000 + STAGE_MS),
  },
  {
    name: 'its own, if that is higher and earlier',
    events: [urgent('a', [], 50_000, 3), urgent('b', ['a'], 100_000)],
    of: 'a',
    priority: 3,
    dueAt: 50_000,
  },
  {
    name: 'the highest priority and the earliest deadline of several dependants',
    events: [put('a'), urgent('b', ['a'], 100_000, 1), urgent('c', ['a'], 200_000, 2)],
    of: 'a',
    priority: 2,
    dueAt: 100_000 - 10_000 - STAGE_MS,
  },
  {
    name: 'not of a dependant that has ended',
    events: [put('a'), urgent('b', ['a'], 100_000), { gone: 'b' }],
    of: 'a',
    priority: 0,
    dueAt: null,
  },
  {
    name: 'not of an indirect dependant that is cancelled',
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

// Adding or removing a dependant must recompute only the jobs that it affects, not the whole index.
test('effective priority: put and remove return only the jobs that change', () => {
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
  test(`packed ids of ${ids.length}: unpacked unchanged, also from parts of bounded size`, () => {
    const wanted = [...new Set(ids)].sort();
    assert.deepEqual([...unpackIds(packIds(ids))].sort(), wanted);
    const parts = splitIds(ids, 400);
    assert.deepEqual(parts.flatMap((part) => unpackIds(packIds(part))).sort(), wanted);
    for (const part of parts) assert.ok(JSON.stringify(packIds(part)).length <= 400 + 8);
  });
}
