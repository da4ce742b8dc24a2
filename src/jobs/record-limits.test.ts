/** Job records fit the smallest limits of the key-value store, whatever an earlier version took. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import type { CallOutcome } from '../http/model.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { LinearizableReads } from '../kv-store/linearizable-reads.js';
import type { StoredEntry } from '../kv-store/model.js';
import { unpackIds } from '../pipelines/codec.js';
import { FinalRecordCache } from '../pipelines/final-record-cache.js';
import { submission } from '../testing/bodies.js';
import {
  bytesOf,
  longMachineTypes,
  recordingStore,
  SMALLEST_TRANSACTION,
  SMALLEST_VALUE_BYTES,
  storeWithSmallestLimits,
} from '../testing/smallest-limits.js';
import { UsersApi } from './api.js';
import { readJobRecord, writeCancelledRecord, writeJobRecord } from './job-record-codec.js';
import type { JobRecord, JobSpec } from './model.js';

const cancelled = (texts: string, types: readonly string[] | null): JobRecord => ({
  spec: {
    id: 'job-000001',
    jobClass: texts,
    team: 'red',
    kind: 'gang',
    priority: 2,
    tasks: 16,
    cpus: 8,
    gpus: 1,
    memoryGb: 64,
    types,
    zone: 'hobart-north',
    oneZone: true,
    spread: false,
    spot: true,
    image: texts,
    imageGb: 6.2,
    estimateS: 240,
    checkpointS: 30,
    saveS: 4,
    deadlineS: 900,
  } satisfies JobSpec,
  at: 1_700_000_000_000,
  cancelled: true,
  cancelledAt: 1_700_000_060_000,
  dependsOn: ['job-000007'],
  parts: 0,
});

const usersApi = (
  store: KeyValueStore,
  copy: (key: string) => StoredEntry | undefined = () => undefined,
): UsersApi => {
  const catalog = new Map(longMachineTypes(1).map((type) => [type.name, type]));
  return new UsersApi({
    store,
    linearizableReads: new LinearizableReads(store),
    finalRecords: new FinalRecordCache(store),
    pipelines: { readiness: () => ({ _tag: 'waiting' }), resolve: () => Effect.succeed(true) },
    pipelinesSupported: () => true,
    valueBytes: SMALLEST_VALUE_BYTES,
    cacheAgeMs: () => 0,
    mayConfirmCancellation: () => Effect.succeed(true),
    cache: { get: copy },
    catalog: () => catalog,
    limits: new Map([['red', { cpusMax: 0, gpusMax: 8 }]]),
    taskCounts: () => null,
    wallClock: () => 1_700_000_000_000,
  });
};

test('job record limits: a job whose record outgrew them is cancelled in a record that fits', async () => {
  const stored = writeJobRecord({
    ...cancelled('\u0001'.repeat(256), null),
    cancelled: false,
    cancelledAt: null,
  });
  assert.ok(bytesOf(stored) > SMALLEST_VALUE_BYTES);
  const writes: { data: unknown }[] = [];
  const store = storeWithSmallestLimits((path, body) => {
    const answer = (status: number, value: unknown): Promise<CallOutcome> =>
      Promise.resolve({ _tag: 'response', status, body: value });
    if (path === '/store/w/j/job-000001')
      return answer(200, { path: 'w/j/job-000001', data: stored, brandMark: 3 });
    if (path !== '/txn') return answer(404, { epoch: 1 });
    const sent = (body as { writes: { data: unknown }[] }).writes;
    if (sent.some((write) => bytesOf(write.data) > SMALLEST_VALUE_BYTES))
      return answer(400, { error: 'value too large' });
    writes.push(...sent);
    return answer(200, { epoch: 9 });
  });
  const api = usersApi(store);
  const reply = await Effect.runPromise(
    api.handle({ method: 'POST', path: '', query: '', body: { _tag: 'empty' } }, ['job-000001', 'abort']),
  );
  assert.equal(reply.status, 200);
  assert.equal((reply.body as { status: string }).status, 'withdrawn');
  assert.equal(readJobRecord(writes[0]?.data).cancelled, true);
});

test('job record limits: the longest dependency list that a submission can hold fits', async () => {
  const { store, writes } = recordingStore();
  const follows = Array.from({ length: 4_000 }, (_, k) => `job-${String(k * 211).padStart(6, '0')}`);
  const api = usersApi(store, (key) => ({ key, value: null, version: 1 }));
  const body = submission({
    uid: 'job-999999',
    herd: 'h'.repeat(250),
    brand: 'b'.repeat(250),
    dueS: 60,
    follows,
  });
  const reply = await Effect.runPromise(
    api.handle({ method: 'POST', path: '', query: '', body: { _tag: 'value', value: body } }, []),
  );
  assert.equal(reply.status, 201);
  const [sent] = writes;
  assert.ok(sent && sent.length <= SMALLEST_TRANSACTION);
  for (const write of sent)
    assert.ok(bytesOf(write.data) <= SMALLEST_VALUE_BYTES, `${write.write} ${bytesOf(write.data)} B`);
  const record = readJobRecord(sent.at(-1)?.data);
  assert.equal(record.parts, sent.length - 1);
  assert.deepEqual(
    sent
      .slice(0, -1)
      .flatMap((write) => unpackIds(write.data as string[]))
      .sort(),
    [...follows].sort(),
  );
});

const cancellations: readonly { name: string; record: JobRecord; fits: boolean }[] = [
  {
    name: 'a record that fits stays whole',
    record: cancelled('train', ['g8']),
    fits: true,
  },
  {
    name: 'types that an earlier version took',
    record: cancelled(
      'train',
      Array.from({ length: 90 }, (_, k) => `type-with-a-long-name-${k}`),
    ),
    fits: false,
  },
  // The store refuses such a record as it is, so that its cancellation could never be written.
  {
    name: 'texts that an earlier version took, each character six when written',
    record: cancelled('\u0001'.repeat(256), null),
    fits: false,
  },
];
for (const { name, record, fits } of cancellations) {
  test(`job record limits: a cancelled job, ${name}`, () => {
    assert.equal(
      bytesOf(writeJobRecord(record)) <= SMALLEST_VALUE_BYTES,
      fits,
      'the row is what its name says',
    );
    const written = writeCancelledRecord(record, SMALLEST_VALUE_BYTES);
    assert.ok(bytesOf(written) <= SMALLEST_VALUE_BYTES, `${bytesOf(written)} B`);
    const read = readJobRecord(JSON.parse(JSON.stringify(written)));
    if (fits) assert.deepEqual(read, record);
    // What stopping its tasks, counting them and answering its user needs.
    const { spec } = read;
    assert.deepEqual(
      [spec.id, spec.team, spec.kind, spec.tasks, spec.cpus, spec.gpus, spec.memoryGb, spec.saveS],
      ['job-000001', 'red', 'gang', 16, 8, 1, 64, 4],
    );
    assert.deepEqual(
      [read.cancelled, read.cancelledAt, read.at, read.dependsOn],
      [true, record.cancelledAt, record.at, record.dependsOn],
    );
  });
}
