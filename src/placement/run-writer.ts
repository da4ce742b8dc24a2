/**
 * Writes the runs of a shard's jobs: which tasks are bound to which machines, and which are done. No state of
 * its own; it sets `writesInProgress`, `validAttempt` and `chunks` of jobs. `Binder` and `RecordFlusher` call
 * it.
 */
import {
  ESTIMATED_BINDING_BYTES,
  ESTIMATED_RUN_RECORD_BYTES,
  MAX_RECORD_BATCH_BYTES,
  MAX_TRANSACTION_BYTES,
  RUN_WRITE_OVERHEAD_BYTES,
  VALUE_FILL_FRACTION,
} from '../constants/key-value-store.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { TransactionResult, Write } from '../kv-store/model.js';
import { jobKey, runKey, runPartKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardIdentity, ValueLimits } from './ports.js';
import { asPrepared, encodeRun, withValidAttempt, type StoredRun } from './run-codec.js';
import { durableKeys, runRecord, type RunRecord } from './run-records.js';
import type { Chunk, ShardJob } from './shard-model.js';

/** What the writer of runs needs of its shard. */
export interface RunWriterDependencies extends Pick<ShardIdentity, 'shardId'>, ValueLimits {
  readonly transactions: ClaimTransactions;
  readonly store: KeyValueStore;
}

/** One run of a job's tasks, as it is to be written now. */
export interface RunWrite {
  readonly job: ShardJob;
  readonly chunk: number;
  readonly record: RunRecord;
  readonly stored: StoredRun;
}

/**
 * bytes: estimated size of a run record on the wire; a binding is an index, a machine's name and an attempt.
 */
const estimatedBytes = (record: RunRecord): number =>
  ESTIMATED_RUN_RECORD_BYTES + record.bindings.length * ESTIMATED_BINDING_BYTES;

/**
 * bytes: size on the wire, as the protocol measures it, of a run with its parts, its keys and its condition.
 */
const storedBytes = (stored: StoredRun): number =>
  [stored.record, ...stored.parts].reduce<number>(
    (sum, value) => sum + JSON.stringify(value).length + RUN_WRITE_OVERHEAD_BYTES,
    0,
  );

/**
 * Marks the known state of the stored run as clean, because the write contains all changes, and returns that
 * state; creates the state if there is none.
 */
const markChunkClean = ({ job, chunk: number }: RunWrite): Chunk => {
  const known = job.chunks.get(number);
  if (known) {
    known.dirtySince = null;
    return known;
  }
  const created: Chunk = { version: 0, parts: 0, durable: new Set(), dirtySince: null };
  job.chunks.set(number, created);
  return created;
};

/** Records the outcome of a write in the known state of the stored run. */
const recordWriteResult = (chunk: Chunk, write: RunWrite, result: TransactionResult): void => {
  if (result._tag !== 'committed') {
    chunk.dirtySince ??= 0;
    return;
  }
  chunk.version = result.revision;
  chunk.parts = write.stored.parts.length;
  chunk.durable = durableKeys(write.job.spec.id, write.record);
};

/** The writer of runs of one shard. */
export class RunWriter {
  constructor(private readonly dependencies: RunWriterDependencies) {}

  runWrite(job: ShardJob, chunk: number): RunWrite {
    const record = runRecord(job, chunk);
    const bytes = this.dependencies.valueBytes * VALUE_FILL_FRACTION;
    const stored = encodeRun(record, chunk, bytes, this.dependencies.maySplit());
    const keepsValidAttempt = chunk === 0 && job.validAttempt > 0;
    return {
      job,
      chunk,
      record,
      stored: keepsValidAttempt ? withValidAttempt(stored, job.validAttempt) : stored,
    };
  }

  private changeCountOf(write: RunWrite): number {
    return 1 + Math.max(write.stored.parts.length, write.job.chunks.get(write.chunk)?.parts ?? 0);
  }

  /** Groups runs, in their order, into batches that each fit in one transaction. */
  batches<T extends { readonly write: RunWrite }>(entries: readonly T[]): readonly (readonly T[])[] {
    const batches: T[][] = [];
    let batch: T[] = [];
    let bytes = 0;
    let changes = 0;
    for (const entry of entries) {
      const size = estimatedBytes(entry.write.record);
      const more = this.changeCountOf(entry.write);
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

  /**
   * Writes runs in one transaction; meanwhile `writesInProgress` keeps others from writing runs of these
   * jobs. Resolves to true if the transaction is committed.
   */
  async commitRuns(writes: readonly RunWrite[], priority: RequestPriority): Promise<boolean> {
    const first = writes[0];
    if (!first) return true;
    const jobs = new Set(writes.map((write) => write.job));
    const chunks = writes.map(markChunkClean);
    for (const job of jobs) job.writesInProgress += 1;
    const result = await this.dependencies.transactions.commit({
      conditions: [
        ...[...jobs].map((job) => ({ key: jobKey(job.spec.id), version: job.version })),
        ...writes.map((write, index) => ({ key: this.keyOf(write), version: chunks[index]?.version ?? 0 })),
      ],
      writes: writes.flatMap((write, index) => this.changes(write, chunks[index]?.parts ?? 0)),
      outcomeKey: this.keyOf(first),
      priority,
    });
    for (const job of jobs) job.writesInProgress -= 1;
    writes.forEach((write, index) => {
      const chunk = chunks[index];
      if (chunk) recordWriteResult(chunk, write, result);
    });
    if (result._tag === 'conflict') log.debug({ event: 'runs.write_conflict', failed: result.failed });
    return result._tag === 'committed';
  }

  private keyOf({ job, chunk }: RunWrite): string {
    return runKey(this.dependencies.shardId, job.spec.id, chunk);
  }

  private fitInOneTransaction(writes: readonly RunWrite[]): boolean {
    let changes = 0;
    let bytes = 0;
    for (const write of writes) {
      changes += this.changeCountOf(write);
      bytes += storedBytes(write.stored);
    }
    return changes <= this.dependencies.store.maxTransactionWrites && bytes <= MAX_TRANSACTION_BYTES;
  }

  /**
   * Binds a gang in one transaction. If the gang does not fit in one, other transactions first write prepared
   * runs, and the last one makes them valid.
   */
  async commitGang(job: ShardJob, writes: readonly RunWrite[], priority: RequestPriority): Promise<boolean> {
    const [first, ...others] = writes;
    if (first?.chunk !== 0 || this.fitInOneTransaction(writes)) return this.commitRuns(writes, priority);
    // The gang does not fit in one transaction, and a controller of an earlier version would read prepared
    // runs as bound: the gang waits until all controllers are upgraded.
    if (!this.dependencies.maySplit()) return false;
    // Prevents other writes of the job's runs between the transactions.
    job.writesInProgress += 1;
    try {
      const bound = (await this.prepare(others, priority)) && (await this.validate(job, first, priority));
      if (!bound) this.rewritePrepared(job);
      return bound;
    } finally {
      job.writesInProgress -= 1;
    }
  }

  /** Writes runs as prepared, so that they have no effect yet. */
  private async prepare(writes: readonly RunWrite[], priority: RequestPriority): Promise<boolean> {
    const entries = writes.map((write) => ({ write: { ...write, stored: asPrepared(write.stored) } }));
    for (const batch of this.batches(entries)) {
      const batchWrites = batch.map((entry) => entry.write);
      if (!(await this.commitRuns(batchWrites, priority))) return false;
    }
    return true;
  }

  /** Writes the first run, which makes the runs that were prepared for this attempt valid. */
  private async validate(job: ShardJob, first: RunWrite, priority: RequestPriority): Promise<boolean> {
    const before = job.validAttempt;
    job.validAttempt = job.attempt;
    const write = { ...first, stored: withValidAttempt(first.stored, job.attempt) };
    const bound = await this.commitRuns([write], priority);
    if (!bound) job.validAttempt = before;
    return bound;
  }

  /** Marks the job's runs as changed, so that prepared runs that did not become valid are overwritten. */
  private rewritePrepared(job: ShardJob): void {
    for (const chunk of job.chunks.values()) chunk.dirtySince ??= 0;
  }

  /**
   * Returns the writes of a run's record and parts, and the deletions of stored parts that the run no longer
   * has; `before` is the number of stored parts. All change together, so the record's revision guards them.
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
