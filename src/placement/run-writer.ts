import {
  ESTIMATED_BINDING_BYTES,
  ESTIMATED_RUN_RECORD_BYTES,
  MAX_RECORD_BATCH_BYTES,
  MAX_TRANSACTION_BYTES,
  RUN_WRITE_OVERHEAD_BYTES,
  VALUE_FILL_FRACTION,
} from '../constants/key-value-store.js';
import { log } from '../log.js';
import type { KeyValueStore, Write } from '../kv-store/client.js';
import { jobKey, runKey, runPartKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';
import type { ClaimTransactions } from './claim-transactions.js';
import { prepared, storeRun, validating, type StoredRun } from './run-codec.js';
import { durableKeys, runRecord, type RunRecord } from './run-records.js';
import type { Chunk, ShardJob } from './shard-model.js';

/** What the writer of runs needs of its share. */
export interface RunWriterDependencies {
  readonly transactions: ClaimTransactions;
  readonly store: KeyValueStore;
  readonly shardId: number;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads runs that are parted. */
  readonly maySplit: () => boolean;
}

/** One run of a job's tasks, as it is to be written now. */
export interface RunWrite {
  readonly job: ShardJob;
  readonly chunk: number;
  readonly record: RunRecord;
  readonly stored: StoredRun;
}

/** Guess of a run record's size on the wire: a binding is an index, a machine's name and an attempt. */
const estimatedBytes = (record: RunRecord): number =>
  ESTIMATED_RUN_RECORD_BYTES + record.bindings.length * ESTIMATED_BINDING_BYTES;

/** bytes on the wire, as the protocol measures them, of a run with its parts, its keys and its condition. */
const storedBytes = (stored: StoredRun): number =>
  [stored.record, ...stored.parts].reduce<number>(
    (sum, value) => sum + JSON.stringify(value).length + RUN_WRITE_OVERHEAD_BYTES,
    0,
  );

/** Writes the runs of a share's jobs: which task is bound to which machine, and which are done. */
export class RunWriter {
  constructor(private readonly dependencies: RunWriterDependencies) {}

  runWrite(job: ShardJob, chunk: number): RunWrite {
    const record = runRecord(job, chunk);
    const bytes = this.dependencies.valueBytes * VALUE_FILL_FRACTION;
    const stored = storeRun(record, chunk, bytes, this.dependencies.maySplit());
    const keeps = chunk === 0 && job.validAttempt > 0;
    return { job, chunk, record, stored: keeps ? validating(stored, job.validAttempt) : stored };
  }

  private changesOf(write: RunWrite): number {
    return 1 + Math.max(write.stored.parts.length, write.job.chunks.get(write.chunk)?.parts ?? 0);
  }

  /** Runs in as few transactions as they fit in; each batch is whole. */
  batches<T extends { readonly write: RunWrite }>(entries: readonly T[]): readonly (readonly T[])[] {
    const batches: T[][] = [];
    let batch: T[] = [];
    let bytes = 0;
    let changes = 0;
    for (const entry of entries) {
      const size = estimatedBytes(entry.write.record);
      const more = this.changesOf(entry.write);
      if (
        batch.length > 0 &&
        (changes + more > this.dependencies.store.batchWrites || bytes + size > MAX_RECORD_BATCH_BYTES)
      ) {
        batches.push(batch);
        batch = [];
        bytes = 0;
        changes = 0;
      }
      batch.push(entry);
      bytes += size;
      changes += more;
    }
    if (batch.length > 0) batches.push(batch);
    return batches;
  }

  /** Writes runs in one transaction; while it is under way nothing else writes runs of these jobs. */
  async commitRuns(writes: readonly RunWrite[], rank: RequestPriority): Promise<boolean> {
    const first = writes[0];
    if (!first) return true;
    const key = (write: RunWrite): string =>
      runKey(this.dependencies.shardId, write.job.spec.id, write.chunk);
    const jobs = new Set(writes.map((write) => write.job));
    const chunks = writes.map((write): Chunk => {
      const known = write.job.chunks.get(write.chunk);
      if (known) {
        known.dirtySince = null;
        return known;
      }
      const fresh: Chunk = { version: 0, parts: 0, durable: new Set(), dirtySince: null };
      write.job.chunks.set(write.chunk, fresh);
      return fresh;
    });
    for (const job of jobs) job.writesUnderWay += 1;
    const result = await this.dependencies.transactions.commit(
      [
        ...[...jobs].map((job) => ({ key: jobKey(job.spec.id), version: job.version })),
        ...writes.map((write, index) => ({ key: key(write), version: chunks[index]?.version ?? 0 })),
      ],
      writes.flatMap((write, index) => this.changes(write, chunks[index]?.parts ?? 0)),
      key(first),
      rank,
    );
    for (const job of jobs) job.writesUnderWay -= 1;
    const committed = result._tag === 'committed';
    writes.forEach((write, index) => {
      const chunk = chunks[index];
      if (!chunk) return;
      if (committed) {
        chunk.version = result.revision;
        chunk.parts = write.stored.parts.length;
        chunk.durable = durableKeys(write.job.spec.id, write.record);
      } else chunk.dirtySince ??= 0;
    });
    if (result._tag === 'conflict') log.debug({ event: 'runs.write_conflict', failed: result.failed });
    return committed;
  }

  private fitInOneTransaction(writes: readonly RunWrite[]): boolean {
    let changes = 0;
    let bytes = 0;
    for (const write of writes) {
      changes += this.changesOf(write);
      bytes += storedBytes(write.stored);
    }
    return changes <= this.dependencies.store.maxTransactionWrites && bytes <= MAX_TRANSACTION_BYTES;
  }

  /**
   * Binds a gang: in one transaction, or, where that can't hold it, by one that makes valid what was
   * prepared.
   */
  async commitGang(job: ShardJob, writes: readonly RunWrite[], rank: RequestPriority): Promise<boolean> {
    const [first, ...others] = writes;
    if (!first || first.chunk !== 0 || this.fitInOneTransaction(writes)) return this.commitRuns(writes, rank);
    // No transaction holds it, and what is prepared an earlier version would take for bound: it waits for the
    // upgrade.
    if (!this.dependencies.maySplit()) return false;
    // Nothing else writes its runs in between.
    job.writesUnderWay += 1;
    try {
      const entries = others.map((write) => ({ write: { ...write, stored: prepared(write.stored) } }));
      for (const batch of this.batches(entries)) {
        const ready = await this.commitRuns(
          batch.map((entry) => entry.write),
          rank,
        );
        if (!ready) return this.rewritePrepared(job);
      }
      const before = job.validAttempt;
      job.validAttempt = job.attempt;
      const bound = await this.commitRuns(
        [{ ...first, stored: validating(first.stored, job.attempt) }],
        rank,
      );
      if (bound) return true;
      job.validAttempt = before;
      return this.rewritePrepared(job);
    } finally {
      job.writesUnderWay -= 1;
    }
  }

  /** What was prepared and is not valid is written over. */
  private rewritePrepared(job: ShardJob): false {
    for (const chunk of job.chunks.values()) chunk.dirtySince ??= 0;
    return false;
  }

  /**
   * A run's record with its parts, and parts of the last one that are no more. All change together, so the
   * record's revision guards them.
   */
  private changes(write: RunWrite, before: number): readonly Write[] {
    const { job, chunk, stored } = write;
    const partKey = (part: number): string => runPartKey(this.dependencies.shardId, job.spec.id, chunk, part);
    return [
      { _tag: 'put', key: runKey(this.dependencies.shardId, job.spec.id, chunk), value: stored.record },
      ...stored.parts.map((value, part): Write => ({ _tag: 'put', key: partKey(part), value })),
      ...Array.from({ length: Math.max(0, before - stored.parts.length) }, (_, k): Write => ({
        _tag: 'delete',
        key: partKey(stored.parts.length + k),
      })),
    ];
  }
}
