/** Tests that a gang whose bind takes several transactions is bound by the last one or not at all. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { parseRunKey, runKey, runPartKey } from '../kv-store/keys.js';
import { jobSpec, machineRecord } from '../testing/bodies.js';
import { ShardState } from './shard-state.js';
import { isRunValid, partCountOf, readRunRecord, validAttempt } from './run-codec.js';
import { chunkOf } from './run-records.js';
import { ClaimTransactions } from './claim-transactions.js';
import { RunWriter } from './run-writer.js';

/** A gang, and limits of the key-value store under which its bind does not fit in one transaction. */
interface Limits {
  readonly name: string;
  readonly tasks: number;
  readonly ops: number;
  readonly valueBytes: number;
}
const TXN_LIMIT_BYTES = 64 * 1024;

const bindUntil = async ({ tasks, ops, valueBytes }: Limits, transactions: number) => {
  const items = new Map<string, unknown>();
  let committed = 0;
  let revision = 0;
  const request = (_: string, path: string, body: unknown): Promise<CallOutcome> => {
    const { writes } = body as { writes: { write?: string; remove?: string; data?: unknown }[] };
    assert.equal(path, '/txn');
    assert.ok(writes.length <= ops, `${writes.length} changes`);
    const bytes = Buffer.byteLength(JSON.stringify(body));
    assert.ok(bytes <= TXN_LIMIT_BYTES, `${bytes} bytes in one transaction`);
    if (committed >= transactions)
      return Promise.resolve({ _tag: 'response', status: 409, body: { failed: ['w/c/0'] } });
    committed += 1;
    revision += 1;
    for (const { write, remove, data } of writes) {
      if (write !== undefined) {
        assert.ok(Buffer.byteLength(JSON.stringify(data)) <= valueBytes);
        items.set(write, JSON.parse(JSON.stringify(data)));
      } else if (remove !== undefined) items.delete(remove);
    }
    return Promise.resolve({ _tag: 'response', status: 200, body: { epoch: revision } });
  };
  const store = new KeyValueStore(
    { host: 'h', port: 1 },
    { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: ops, nodes: 1 },
    () => 0,
    () => ({ request }),
  );
  const shardState = new ShardState({ now: () => 0, wall: () => 0, requestRound: () => undefined });
  const claimTransactions = new ClaimTransactions({
    store,
    shardId: 0,
    claim: 5,
    markLost: () => undefined,
    isLost: () => false,
  });
  const writer = new RunWriter({
    transactions: claimTransactions,
    store,
    shardId: 0,
    valueBytes,
    maySplit: () => true,
  });
  const job = shardState.applyJobRecord(
    {
      spec: jobSpec('job-1', {
        team: 't',
        kind: 'gang',
        priority: 1,
        tasks,
        cpus: 1,
        memoryGb: 1,
        image: 'i',
        estimateS: 10,
      }),
      at: 0,
      cancelled: false,
      cancelledAt: null,
      dependsOn: [],
      parts: 0,
    },
    1,
  );
  job.attempt = 3;
  for (let index = 0; index < tasks; index += 1) {
    // Each task has a machine of its own, which makes the run records as long as they can be.
    const id = `i-${String(index).padStart(9, '0')}`;
    const machine = shardState.addMachine(id, machineRecord(), 2, { cpus: 1, gpus: 0, memoryGb: 1 });
    shardState.bind(job, index, 3, machine, { _tag: 'binding' });
  }
  const chunks = Array.from({ length: chunkOf(tasks - 1) + 1 }, (_, chunk) => chunk);
  const bound = await writer.commitGang(
    job,
    chunks.map((chunk) => writer.runWrite(job, chunk)),
    'bind',
  );
  /** Number of tasks that a new holder of the shard would read as bound. */
  let found = 0;
  const first = items.get(runKey(0, 'job-1', 0));
  for (const [key, value] of items) {
    const name = parseRunKey(key);
    if (name?.part !== null || !isRunValid(value, first)) continue;
    const parts = Array.from({ length: partCountOf(value) }, (_, part) =>
      items.get(runPartKey(0, 'job-1', name.chunk, part)),
    );
    found += readRunRecord(value, name.chunk, parts).bindings.length;
  }
  return { bound, found, committed, job, valid: validAttempt(first), writing: job.writesInProgress };
};

/** Gangs too large for one transaction, up to one task on each of 4,000 machines. */
const limits: readonly Limits[] = [
  { name: '1,900 tasks, small transactions and values', tasks: 1_900, ops: 10, valueBytes: 2_048 },
  { name: '4,000 tasks, few changes per transaction', tasks: 4_000, ops: 16, valueBytes: 32 * 1024 },
  {
    name: '4,000 tasks, as many changes per transaction as the gang has runs',
    tasks: 4_000,
    ops: 64,
    valueBytes: 16 * 1024,
  },
];
for (const row of limits) {
  test(`gang: prepared runs count as unbound until the last transaction, ${row.name}`, async () => {
    const whole = await bindUntil(row, 1_000);
    assert.deepEqual([whole.bound, whole.found, whole.valid], [true, row.tasks, 3]);
    assert.ok(whole.committed > 2, 'the bind takes more than two transactions');
    for (let committed = 0; committed < whole.committed; committed += 1) {
      const part = await bindUntil(row, committed);
      assert.deepEqual([part.bound, part.found, part.writing], [false, 0, 0], `stopped after ${committed}`);
      // Prepared runs that remain are marked to be overwritten.
      assert.ok([...part.job.chunks.values()].every((chunk) => chunk.dirtySince !== null));
    }
  });
}
