/** Tests of submissions, polls and cancellations of jobs that depend on others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import type { CallOutcome } from '../http/model.js';
import { FinalRecordCache } from '../pipelines/final-record-cache.js';
import type { Readiness } from '../pipelines/graph.js';
import { KeyValueStore } from '../kv-store/client.js';
import { LinearizableReads } from '../kv-store/linearizable-reads.js';
import { submission } from '../testing/bodies.js';
import { UsersApi } from './api.js';
import { writeFinalRecord, writeJobRecord } from './job-record-codec.js';
import type { Catalog, JobRecord, JobSpec } from './model.js';

/** What users are told of jobs that follow others, from what is stored. */
const catalog: Catalog = new Map([
  [
    'g',
    {
      name: 'g',
      cpus: 8,
      gpus: 1,
      memoryGb: 64,
      cacheGb: 9,
      price: 1,
      spotPrice: 1,
      bootS: 1,
      zones: ['a'],
    },
  ],
]);
const record = (id: string, over: Partial<JobRecord> = {}): unknown =>
  writeJobRecord({
    spec: { id, team: 'red', kind: 'array', tasks: 2 } as JobSpec,
    at: 1,
    cancelled: false,
    cancelledAt: null,
    dependsOn: [],
    parts: 0,
    ...over,
  });
const final = (state: 'done' | 'cancelled'): unknown => writeFinalRecord({ state, at: 2, tasks: 2 });

interface Row {
  readonly name: string;
  readonly stored: Readonly<Record<string, unknown>>;
  /** Null: a poll of job-9. */
  readonly submit: object | null;
  readonly early?: boolean;
  readonly down?: boolean;
  readonly stale?: boolean;
  readonly stands?: Readiness;
  readonly status: number;
  readonly says?: string;
}
const waits = record('job-9', { dependsOn: ['job-1'] });
const rows: readonly Row[] = [
  { name: 'not a list', stored: {}, submit: { follows: 'job-1' }, status: 400 },
  { name: 'not ids', stored: {}, submit: { follows: ['x'] }, status: 400 },
  { name: 'null and an empty list follow nothing', stored: {}, submit: { follows: null }, status: 201 },
  {
    name: 'an empty list before all nodes understand',
    stored: {},
    submit: { follows: [] },
    early: true,
    status: 201,
  },
  {
    name: 'one that is waiting or running',
    stored: { 'w/j/job-1': record('job-1') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  {
    name: 'one that is done',
    stored: { 'f/job-1': final('done') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  {
    name: 'one that is cancelled',
    stored: { 'f/job-1': final('cancelled') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  { name: 'one that was never accepted', stored: {}, submit: { follows: ['job-1'] }, status: 422 },
  { name: 'itself', stored: {}, submit: { follows: ['job-9'] }, status: 422 },
  // Before that a node of an earlier version may hold its share, and would start it at once.
  {
    name: 'before all nodes understand',
    stored: { 'f/job-1': final('done') },
    submit: { follows: ['job-1'] },
    early: true,
    status: 503,
  },
  { name: 'the state can not be read', stored: {}, submit: { follows: ['job-1'] }, down: true, status: 503 },
  {
    name: 'a repeat of a known job, whatever it names',
    stored: { 'w/j/job-9': record('job-9') },
    submit: { follows: ['job-1'] },
    status: 200,
    says: 'pending',
  },
  {
    name: 'a poll while it waits',
    stored: { 'w/j/job-9': waits },
    submit: null,
    stands: { _tag: 'waiting' },
    status: 200,
    says: 'pending',
  },
  // Said of an old copy, a job could be called waiting long after its user was told that one before it is
  // cancelled.
  {
    name: 'a poll while this node sees nothing new',
    stored: { 'w/j/job-9': waits },
    submit: null,
    stands: { _tag: 'waiting' },
    stale: true,
    status: 503,
  },
  {
    name: 'a poll when one before it is cancelled',
    stored: { 'w/j/job-9': waits },
    submit: null,
    stands: { _tag: 'dependencyCancelled' },
    status: 200,
    says: 'withdrawn',
  },
  {
    name: 'a poll when it is ready',
    stored: { 'w/j/job-9': waits },
    submit: null,
    stands: { _tag: 'ready', since: 5 },
    stale: true,
    status: 200,
    says: 'pending',
  },
];
for (const row of rows) {
  test(`follows: ${row.name}`, async () => {
    const items = new Map(Object.entries(row.stored).map(([key, value]) => [key, { value, version: 3 }]));
    let revision = 10;
    const request = (_: string, path: string, sent: unknown): Promise<CallOutcome> => {
      const answer = (status: number, said: unknown): Promise<CallOutcome> =>
        Promise.resolve({ _tag: 'response', status, body: said });
      if (row.down === true) return answer(503, {});
      if (path === '/txn') {
        const { when, writes } = sent as {
          when: { path: string; brandMark: number }[];
          writes: { write: string; data: unknown }[];
        };
        const failed = when.filter(
          ({ path: key, brandMark }) => (items.get(key)?.version ?? 0) !== brandMark,
        );
        if (failed.length > 0) return answer(409, { failed: failed.map(({ path: key }) => key) });
        revision += 1;
        for (const write of writes) items.set(write.write, { value: write.data, version: revision });
        return answer(200, { epoch: revision });
      }
      const key = path.slice('/store/'.length);
      const found = items.get(key);
      return found
        ? answer(200, { path: key, data: found.value, brandMark: found.version })
        : answer(404, {});
    };
    const store = new KeyValueStore(
      { host: 'h', port: 1 },
      { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: 10, nodes: 1 },
      () => 0,
      () => ({ request }),
    );
    const api = new UsersApi({
      store,
      linearizableReads: new LinearizableReads(store),
      finalRecords: new FinalRecordCache(store),
      pipelines: {
        readiness: () => row.stands ?? { _tag: 'ready', since: 0 },
        resolve: () => Effect.succeed(true),
      },
      pipelinesSupported: () => row.early !== true,
      valueBytes: 2048,
      cacheAgeMs: () => (row.stale === true ? 60_000 : 0),
      mayConfirmCancellation: () => Effect.succeed(true),
      cache: { get: () => undefined },
      catalog: () => catalog,
      limits: new Map([['red', { cpusMax: 0, gpusMax: 8 }]]),
      taskCounts: () => null,
      wallClock: () => 5,
    });
    const call =
      row.submit === null
        ? { method: 'GET', path: '', query: '', body: { _tag: 'empty' } as const }
        : {
            method: 'POST',
            path: '',
            query: '',
            body: { _tag: 'value', value: submission(row.submit) } as const,
          };
    const reply = await Effect.runPromise(api.handle(call, row.submit === null ? ['job-9'] : []));
    assert.equal(reply.status, row.status, JSON.stringify(reply.body));
    if (row.says !== undefined) assert.equal((reply.body as { status: string }).status, row.says);
    // What was said to be cancelled is so for whoever asks next, at any node.
    if (row.says === 'withdrawn')
      assert.equal((items.get('w/j/job-9')?.value as { c: boolean }).c, true, 'durable before it is said');
  });
}
