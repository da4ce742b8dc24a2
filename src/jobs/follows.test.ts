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
const record = (id: string, overrides: Partial<JobRecord> = {}): unknown =>
  writeJobRecord({
    spec: { id, team: 'red', kind: 'array', tasks: 2 } as JobSpec,
    at: 1,
    cancelled: false,
    cancelledAt: null,
    dependsOn: [],
    parts: 0,
    ...overrides,
  });
const final = (state: 'done' | 'cancelled'): unknown => writeFinalRecord({ state, at: 2, tasks: 2 });

interface Row {
  readonly name: string;
  readonly stored: Readonly<Record<string, unknown>>;
  /** The body of a submission; null: the request is a poll of job-9. */
  readonly submit: object | null;
  /** Whether some controller may not support pipelines yet. */
  readonly pipelinesUnsupported?: boolean;
  readonly storeUnavailable?: boolean;
  /** Whether this controller's copy of the shared keys is out of date. */
  readonly stale?: boolean;
  readonly readiness?: Readiness;
  /** Expected HTTP status. */
  readonly status: number;
  /** Expected job status. */
  readonly jobStatus?: string;
}
const waitingJob = record('job-9', { dependsOn: ['job-1'] });
const rows: readonly Row[] = [
  { name: 'not a list', stored: {}, submit: { follows: 'job-1' }, status: 400 },
  { name: 'not ids', stored: {}, submit: { follows: ['x'] }, status: 400 },
  { name: 'null names no dependencies', stored: {}, submit: { follows: null }, status: 201 },
  {
    name: 'an empty list before all controllers support pipelines',
    stored: {},
    submit: { follows: [] },
    pipelinesUnsupported: true,
    status: 201,
  },
  {
    name: 'a job that is waiting or running',
    stored: { 'w/j/job-1': record('job-1') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  {
    name: 'a job that is done',
    stored: { 'f/job-1': final('done') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  {
    name: 'a job that is cancelled',
    stored: { 'f/job-1': final('cancelled') },
    submit: { follows: ['job-1'] },
    status: 201,
  },
  { name: 'a job that was never accepted', stored: {}, submit: { follows: ['job-1'] }, status: 422 },
  { name: 'the submitted job itself', stored: {}, submit: { follows: ['job-9'] }, status: 422 },
  // A controller of an earlier version may hold the job's shard, and would start the job without waiting.
  {
    name: 'before all controllers support pipelines',
    stored: { 'f/job-1': final('done') },
    submit: { follows: ['job-1'] },
    pipelinesUnsupported: true,
    status: 503,
  },
  {
    name: 'the key-value store is unavailable',
    stored: {},
    submit: { follows: ['job-1'] },
    storeUnavailable: true,
    status: 503,
  },
  {
    name: 'a repeated submission of an accepted job, whatever its dependencies',
    stored: { 'w/j/job-9': record('job-9') },
    submit: { follows: ['job-1'] },
    status: 200,
    jobStatus: 'pending',
  },
  {
    name: 'a poll while the job waits for its dependencies',
    stored: { 'w/j/job-9': waitingJob },
    submit: null,
    readiness: { _tag: 'waiting' },
    status: 200,
    jobStatus: 'pending',
  },
  // With an outdated copy, a job could be reported as waiting long after a response reported to its user
  // that a dependency is cancelled.
  {
    name: 'a poll while the copy of the shared keys is outdated',
    stored: { 'w/j/job-9': waitingJob },
    submit: null,
    readiness: { _tag: 'waiting' },
    stale: true,
    status: 503,
  },
  {
    name: 'a poll when a dependency is cancelled',
    stored: { 'w/j/job-9': waitingJob },
    submit: null,
    readiness: { _tag: 'dependencyCancelled' },
    status: 200,
    jobStatus: 'withdrawn',
  },
  {
    name: 'a poll when the job is ready',
    stored: { 'w/j/job-9': waitingJob },
    submit: null,
    readiness: { _tag: 'ready', since: 5 },
    stale: true,
    status: 200,
    jobStatus: 'pending',
  },
];
for (const row of rows) {
  test(`follows: ${row.name}`, async () => {
    const items = new Map(Object.entries(row.stored).map(([key, value]) => [key, { value, version: 3 }]));
    let revision = 10;
    const request = (_: string, path: string, sent: unknown): Promise<CallOutcome> => {
      const answer = (status: number, responseBody: unknown): Promise<CallOutcome> =>
        Promise.resolve({ _tag: 'response', status, body: responseBody });
      if (row.storeUnavailable === true) return answer(503, {});
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
        readiness: () => row.readiness ?? { _tag: 'ready', since: 0 },
        resolve: () => Effect.succeed(true),
      },
      pipelinesSupported: () => row.pipelinesUnsupported !== true,
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
    if (row.jobStatus !== undefined) assert.equal((reply.body as { status: string }).status, row.jobStatus);
    // A cancellation that a response reports must be durable, so that every controller reports it afterwards.
    if (row.jobStatus === 'withdrawn')
      assert.equal(
        (items.get('w/j/job-9')?.value as { c: boolean }).c,
        true,
        'durable before the response reports it',
      );
  });
}
