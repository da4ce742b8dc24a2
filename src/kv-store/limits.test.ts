import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { readStored, storeCatalog } from '../fleet/catalog.js';
import type { CallOutcome } from '../http.js';
import { UsersApi } from '../jobs/api.js';
import { readJobRecord, writeCancelledRecord, writeJobRecord } from '../jobs/codec.js';
import type { JobRecord, JobSpec, MachineType } from '../jobs/model.js';
import { KeyValueStoreRelay } from '../peers/store-relay.js';
import { unpackIds } from '../pipelines/codec.js';
import { FinalRecordCache } from '../pipelines/final-record-cache.js';
import { partsOf, readRunRecord, storeRun } from '../placement/run-codec.js';
import type { RunRecord } from '../placement/run-records.js';
import { effectiveLimits } from '../settings/limits.js';
import { submission } from '../testing/bodies.js';
import { KeyValueStore, type StoredEntry } from './client.js';
import { LinearizableReads } from './linearizable-reads.js';

/** Every kind of record at the smallest limits known: values of 2 KiB, ten changes a transaction. */
const BYTES = 2 * 1024;
const OPS = 10;
const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const limits: readonly { name: string; next: object | undefined; kb: number; ops: number; rate: number }[] = [
  { name: 'none to come', next: undefined, kb: 16, ops: 48, rate: 60 },
  {
    name: 'smaller ones to come',
    next: { value_kb: 2, txn_ops: 10, write_rps: 42 },
    kb: 2,
    ops: 10,
    rate: 42,
  },
  { name: 'only one of them named', next: { value_kb: 2 }, kb: 2, ops: 48, rate: 60 },
  {
    name: 'larger ones to come do not hold yet',
    next: { value_kb: 64, txn_ops: 99 },
    kb: 16,
    ops: 48,
    rate: 60,
  },
];
for (const row of limits) {
  test(`limits: ${row.name}`, () => {
    const state = { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 48 };
    const found = effectiveLimits(row.next ? { ...state, next: row.next } : state);
    assert.deepEqual(
      [found.value_kb, found.txn_ops, found.write_rps, found.rps],
      [row.kb, row.ops, row.rate, 150],
    );
  });
}

const runs: readonly { name: string; record: RunRecord }[] = [
  {
    name: 'each task on a machine of its own, the last chunk of the largest job',
    record: {
      done: Array.from({ length: 32 }, (_, k) => 99_840 + k),
      bindings: Array.from({ length: 128 }, (_, k) => ({
        index: 99_840 + k,
        machine: `i-${String(k * 7_919).padStart(9, '0')}`,
        attempt: 900 + (k % 3),
      })),
      attempt: 902,
    },
  },
  {
    name: 'eight side by side on each machine',
    record: {
      done: [],
      bindings: Array.from({ length: 128 }, (_, k) => ({
        index: 99_840 + k,
        machine: `i-${String(k >> 3).padStart(6, '0')}`,
        attempt: 1,
      })),
      attempt: 1,
    },
  },
];
for (const row of runs) {
  test(`limits: a run, ${row.name}`, () => {
    const { record, parts: parts } = storeRun(row.record, 780, BYTES * VALUE_FILL_FRACTION, true);
    for (const value of [record, ...parts]) assert.ok(bytesOf(value) <= BYTES, `${bytesOf(value)} B`);
    assert.equal(partsOf(record), parts.length);
    assert.ok(1 + parts.length <= OPS);
    assert.deepEqual(readRunRecord(JSON.parse(JSON.stringify(record)), 780, parts), row.record);
  });
}

const types = (count: number): readonly MachineType[] =>
  Array.from({ length: count }, (_, k) => ({
    name: `type-with-a-long-name-${k}`,
    cpus: 96,
    gpus: 8,
    memoryGb: 768.5,
    cacheGb: 200,
    price: 12.345678,
    spotPrice: 4.567891,
    bootS: 45,
    zones: ['hobart-north', 'launceston', 'hobart-south'],
  }));
for (const count of [1, 40]) {
  test(`limits: a catalog of ${count} types`, () => {
    const writes = storeCatalog(types(count), BYTES * VALUE_FILL_FRACTION, OPS, true);
    assert.ok(writes !== null && writes.length <= OPS);
    const items = new Map<string, StoredEntry>();
    for (const write of writes) {
      assert.ok(write._tag === 'put' && bytesOf(write.value) <= BYTES);
      items.set(write.key, { key: write.key, value: write.value, version: 7 });
    }
    const whole = items.get('w/catalog');
    assert.ok(whole);
    assert.deepEqual(
      readStored(whole, (key) => items.get(key)),
      types(count),
    );
    // Of a part from before nothing is taken.
    const stale = (key: string): StoredEntry | undefined => {
      const item = items.get(key);
      return item && { ...item, version: 6 };
    };
    assert.equal(readStored(whole, stale) === null, count > 1);
  });
}

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
  const catalog = new Map(types(1).map((type) => [type.name, type]));
  return new UsersApi({
    store,
    fresh: new LinearizableReads(store),
    finalRecords: new FinalRecordCache(store),
    pipelines: { readiness: () => ({ _tag: 'waiting' }), resolve: () => Effect.succeed(true) },
    takesPipelines: () => true,
    valueBytes: BYTES,
    copyAgeMs: () => 0,
    mayConfirmCancellation: () => Effect.succeed(true),
    cache: { get: copy },
    catalog: () => catalog,
    zones: ['a'],
    limits: new Map([['red', { cpusMax: 0, gpusMax: 8 }]]),
    counts: () => null,
    wall: () => 1_700_000_000_000,
  });
};

/** A state service that keeps nothing but notes what it is asked to write. */
const noting = () => {
  const writes: { write?: string; remove?: string; data?: unknown }[][] = [];
  const store = new KeyValueStore(
    { host: 'h', port: 1 },
    { rps: 1e6, write_rps: 1e6, txn_ops: OPS, nodes: 1 },
    () => 0,
    () => ({
      request: (_, path, body): Promise<CallOutcome> => {
        if (path !== '/txn') return Promise.resolve({ _tag: 'response', status: 404, body: { epoch: 1 } });
        writes.push((body as { writes: { write?: string; data?: unknown }[] }).writes);
        return Promise.resolve({ _tag: 'response', status: 200, body: { epoch: 2 } });
      },
    }),
  );
  return { store, writes };
};

test('limits: a job whose record outgrew the limits is cancelled in a record that fits', async () => {
  const stored = writeJobRecord({
    ...cancelled('\u0001'.repeat(256), null),
    cancelled: false,
    cancelledAt: null,
  });
  assert.ok(bytesOf(stored) > BYTES);
  const writes: { data: unknown }[] = [];
  const store = new KeyValueStore(
    { host: 'h', port: 1 },
    { rps: 1e6, write_rps: 1e6, txn_ops: OPS, nodes: 1 },
    () => 0,
    () => ({
      request: (_, path, body): Promise<CallOutcome> => {
        const answer = (status: number, value: unknown): Promise<CallOutcome> =>
          Promise.resolve({ _tag: 'response', status, body: value });
        if (path === '/store/w/j/job-000001')
          return answer(200, { path: 'w/j/job-000001', data: stored, brandMark: 3 });
        if (path !== '/txn') return answer(404, { epoch: 1 });
        const sent = (body as { writes: { data: unknown }[] }).writes;
        if (sent.some((write) => bytesOf(write.data) > BYTES))
          return answer(400, { error: 'value too large' });
        writes.push(...sent);
        return answer(200, { epoch: 9 });
      },
    }),
  );
  const api = usersApi(store);
  const reply = await Effect.runPromise(
    api.handle({ method: 'POST', path: '', query: '', body: { _tag: 'empty' } }, ['job-000001', 'abort']),
  );
  assert.equal(reply.status, 200);
  assert.equal((reply.body as { status: string }).status, 'withdrawn');
  assert.equal(readJobRecord(writes[0]?.data).cancelled, true);
});

test('limits: the longest list of followed jobs that a submission can hold', async () => {
  const { store, writes } = noting();
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
  assert.ok(sent && sent.length <= OPS);
  for (const write of sent)
    assert.ok(bytesOf(write.data) <= BYTES, `${write.write} ${bytesOf(write.data)} B`);
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

const cancellations: readonly { name: string; record: JobRecord; withheldFromSpotWork: boolean }[] = [
  {
    name: 'an ordinary record is kept whole',
    record: cancelled('train', ['g8']),
    withheldFromSpotWork: true,
  },
  {
    name: 'types that an earlier version took',
    record: cancelled(
      'train',
      Array.from({ length: 90 }, (_, k) => `type-with-a-long-name-${k}`),
    ),
    withheldFromSpotWork: false,
  },
  // Such a job could run, and its cancellation was answered 503 for ever: the state service refused the
  // record.
  {
    name: 'texts that an earlier version took, each character six when written',
    record: cancelled('\u0001'.repeat(256), null),
    withheldFromSpotWork: false,
  },
];
for (const { name, record, withheldFromSpotWork } of cancellations) {
  test(`limits: the record of a cancelled job, ${name}`, () => {
    assert.equal(
      bytesOf(writeJobRecord(record)) <= BYTES,
      withheldFromSpotWork,
      'the row is what its name says',
    );
    const written = writeCancelledRecord(record, BYTES);
    assert.ok(bytesOf(written) <= BYTES, `${bytesOf(written)} B`);
    const read = readJobRecord(JSON.parse(JSON.stringify(written)));
    if (withheldFromSpotWork) assert.deepEqual(read, record);
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

test('limits: orders and summaries that go through the state service', async () => {
  const { store, writes } = noting();
  const detour = new KeyValueStoreRelay({
    store,
    valueBytes: BYTES,
    now: () => 1e6,
    leaderClaim: () => 7,
    cutOff: () => [],
    transferMachines: () => undefined,
  });
  const hold = {
    shardId: 1,
    job: 'job-000001',
    zone: 'launceston',
    spot: false,
    types: ['huon-large'],
    cpus: 21,
    gpus: 4,
    memoryGb: 120,
    tasks: 8,
    priority: 1,
    ageMs: 1000,
  };
  const moves = Array.from({ length: 200 }, (_, k) => ({ machine: `i-${k}`, to: 1 }));
  await Effect.runPromise(
    detour.order(
      1,
      moves,
      Array.from({ length: 30 }, () => hold),
    ),
  );
  const value = writes[0]?.[0]?.data as { moves: unknown[]; holds: unknown[] };
  assert.ok(bytesOf(value) <= BYTES);
  assert.ok(value.moves.length > 0 && value.holds.length > 0, 'something of each goes');
});
