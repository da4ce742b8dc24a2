/**
 * Tests that each final record is written once, in whatever order the answers and the watch events arrive.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallOutcome } from '../http/model.js';
import type { JobRecord } from '../jobs/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { jobSpec } from '../testing/bodies.js';
import { RecordFlusher } from './record-flusher.js';
import { ShardState } from './shard-state.js';
import { ImmediateRemoval } from './orphaned-keys.js';
import { ClaimTransactions } from './claim-transactions.js';
import { FinalRecordWriter } from './final-record-writer.js';
import { RunWriter } from './run-writer.js';

const spec = jobSpec('job-1', {
  team: 't',
  kind: 'array',
  priority: 1,
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  image: 'i',
  estimateS: 1,
});
const ACCEPTED_AT = 5;
const CANCELLED_AT = 7;
const record: JobRecord = { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };
const cancelledRecord: JobRecord = { ...record, cancelled: true, cancelledAt: 1 };

/**
 * A shard with one job, and a key-value store in which the job's record has this revision; 0: it is deleted.
 */
const shardOf = () => {
  const state = { revision: CANCELLED_AT, transactions: 0 };
  const request = (): Promise<CallOutcome> => {
    state.transactions += 1;
    if (state.revision === 0)
      return Promise.resolve({ _tag: 'response', status: 409, body: { failed: ['w/j/job-1', 'f/job-1'] } });
    state.revision = 0;
    return Promise.resolve({ _tag: 'response', status: 200, body: { epoch: 9 } });
  };
  const store = new KeyValueStore(
    { host: 'h', port: 1 },
    { requestsPerSecond: 1e6, changesPerSecond: 1e6, maxTransactionWrites: 10, nodes: 1 },
    () => 0,
    () => ({ request }),
  );
  const settled: string[] = [];
  const shardState = new ShardState({ now: () => 0, wall: () => 0, requestRound: () => undefined });
  const transactions = new ClaimTransactions({
    store,
    shardId: 0,
    claim: 1,
    markLost: () => undefined,
    isLost: () => false,
  });
  const flusher = new RecordFlusher({
    store,
    shardState,
    runs: new RunWriter({ transactions, store, shardId: 0, valueBytes: 2048, maySplit: () => true }),
    finalRecords: new FinalRecordWriter({ transactions, store, shardId: 0, wall: () => 0 }),
    orphanedKeys: new ImmediateRemoval(store, transactions),
    now: () => 0,
    isLost: () => false,
    requestRound: () => undefined,
    onFinalRecord: (job) => settled.push(job),
  });
  shardState.applyJobRecord(record, ACCEPTED_AT);
  const round = async (): Promise<void> => {
    flusher.finishJobs();
    await new Promise((resolve) => setTimeout(resolve, 5));
  };
  return { state, shardState, settled, round };
};

type Step = 'acknowledge' | 'round' | 'round, not awaited' | 'cancelled record seen' | 'deletion seen';
const rows: readonly { name: string; steps: readonly Step[]; transactions: number }[] = [
  {
    name: 'the watch shows the cancellation, then the deletion',
    steps: ['cancelled record seen', 'round', 'deletion seen', 'round'],
    transactions: 1,
  },
  // Guards against a late event that added the job again for ever: every round then tried to write its final
  // record again, at two changes per attempt.
  {
    name: 'the cancellation arrives directly, and the job is finished before the watch shows it',
    steps: ['acknowledge', 'round', 'cancelled record seen', 'deletion seen', 'round', 'round'],
    transactions: 1,
  },
  {
    name: 'the same, with a round between the two events',
    steps: ['acknowledge', 'round', 'cancelled record seen', 'round', 'deletion seen', 'round', 'round'],
    transactions: 2,
  },
  {
    name: 'the same, with a transaction in progress as the deletion is seen',
    steps: [
      'acknowledge',
      'round',
      'cancelled record seen',
      'round, not awaited',
      'deletion seen',
      'round',
      'round',
    ],
    transactions: 2,
  },
  {
    name: 'the deletion is seen before the answer to the write',
    steps: ['acknowledge', 'round, not awaited', 'deletion seen', 'round'],
    transactions: 1,
  },
];
for (const row of rows) {
  test(`final records: ${row.name}`, async () => {
    const shard = shardOf();
    for (const step of row.steps) {
      switch (step) {
        case 'acknowledge':
          shard.shardState.acknowledgeCancellation('job-1', CANCELLED_AT);
          break;
        case 'round':
          await shard.round();
          break;
        case 'round, not awaited':
          void shard.round();
          break;
        case 'cancelled record seen':
          shard.shardState.applyJobRecord(cancelledRecord, CANCELLED_AT);
          break;
        case 'deletion seen':
          shard.shardState.onJobRecordDeleted('job-1');
          break;
      }
    }
    assert.deepEqual(
      [...shard.shardState.jobs.keys()],
      [],
      'no job is left whose final record is tried again',
    );
    assert.equal(shard.state.transactions, row.transactions);
    assert.deepEqual(shard.settled, ['job-1']);
  });
}
