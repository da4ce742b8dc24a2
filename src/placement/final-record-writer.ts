/**
 * Writes the final records of jobs that have ended, and deletes all other stored keys of the jobs. No state
 * of its own; it sets `finishing` and `finishSeparately` of jobs. `RecordFlusher` calls it.
 */
import type { OrphanedKey } from '@dalegate/fencing';
import { writeFinalRecord } from '../jobs/job-record-codec.js';
import type { FinalRecord, FinalState } from '../jobs/model.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { Write } from '../kv-store/model.js';
import { finalKey, dependencyListKey, jobKey, runKey, runPartKey } from '../kv-store/keys.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardIdentity, WallClock } from './ports.js';
import type { ShardJob } from './shard-model.js';

/** A job that has ended, with its final state. */
export interface FinishedJob {
  readonly job: ShardJob;
  readonly state: FinalState;
}

interface FinalWrite extends FinishedJob {
  readonly final: FinalRecord;
}

/** Jobs whose final records are durable, and their keys that remain to be removed. */
export interface FinishResult {
  readonly done: readonly { readonly job: ShardJob; readonly final: FinalRecord }[];
  readonly orphanedKeys: readonly OrphanedKey[];
}

/** What the writer of final records needs of its shard. */
export interface FinalRecordWriterDependencies extends Pick<ShardIdentity, 'shardId'>, WallClock {
  readonly transactions: ClaimTransactions;
  readonly store: KeyValueStore;
}

const NOTHING_FINISHED: FinishResult = { done: [], orphanedKeys: [] };

/** The writer of final records of one shard. */
export class FinalRecordWriter {
  constructor(private readonly dependencies: FinalRecordWriterDependencies) {}

  /**
   * The number of changes in a transaction that writes the final record of a job and deletes all its runs.
   */
  changeCountOf(job: ShardJob): number {
    let parts = job.dependencyParts;
    for (const chunk of job.chunks.values()) parts += 1 + chunk.parts;
    return 2 + parts;
  }

  /**
   * Writes the final records of jobs in one transaction. Returns the jobs whose records are durable, and the
   * keys whose deletions did not fit in the transaction.
   */
  async finish(jobs: readonly FinishedJob[]): Promise<FinishResult> {
    const first = jobs[0];
    if (!first) return NOTHING_FINISHED;
    const finals = jobs.map(({ job, state }): FinalWrite => ({
      job,
      state,
      final: { state, at: this.dependencies.wall(), tasks: job.spec.tasks },
    }));
    for (const { job } of finals) job.finishing = true;
    const { writes, orphanedKeys } = this.changes(finals);
    const result = await this.dependencies.transactions.commit({
      conditions: jobs.flatMap(({ job }) => [
        { key: jobKey(job.spec.id), version: job.version },
        // Only the holder writes the final record, so its revision shows whether an unacknowledged copy was
        // applied. The job's record would not show it, since a late cancellation by the user changes that
        // record too.
        { key: finalKey(job.spec.id), version: 0 },
      ]),
      writes,
      outcomeKey: finalKey(first.job.spec.id),
      priority: 'bind',
    });
    if (result._tag !== 'committed') {
      this.onNotCommitted(jobs, result._tag === 'conflict' ? result.failed : []);
      return NOTHING_FINISHED;
    }
    for (const { job, state } of jobs)
      log.info({
        event: 'job.finished',
        job: job.spec.id,
        state,
        ageMs: this.dependencies.wall() - job.waitingSince,
      });
    return { done: finals, orphanedKeys };
  }

  /** The writes of the final records, and as many of the deletions as fit in one transaction. */
  private changes(finals: readonly FinalWrite[]): {
    readonly writes: readonly Write[];
    readonly orphanedKeys: readonly OrphanedKey[];
  } {
    const { maxTransactionWrites } = this.dependencies.store;
    const writes = finals.flatMap(({ job, final }): readonly Write[] => [
      { _tag: 'put', key: finalKey(job.spec.id), value: writeFinalRecord(final) },
      { _tag: 'delete', key: jobKey(job.spec.id) },
    ]);
    const keys = finals.flatMap(({ job }) => this.keysOf(job));
    const room = Math.max(0, maxTransactionWrites - writes.length);
    for (const { key } of keys.slice(0, room)) writes.push({ _tag: 'delete', key });
    return { writes, orphanedKeys: keys.slice(room) };
  }

  /**
   * Resets jobs whose transaction failed. From now on, the final record of a job that caused a conflict is
   * written in a transaction of its own, since the job would hold up the others.
   */
  private onNotCommitted(jobs: readonly FinishedJob[], failedKeys: readonly string[]): void {
    for (const { job } of jobs) {
      job.finishing = false;
      const { id } = job.spec;
      if (failedKeys.includes(jobKey(id)) || failedKeys.includes(finalKey(id))) job.finishSeparately = true;
    }
  }

  /** The keys of everything that is stored of a job besides its record. */
  private keysOf(job: ShardJob): readonly OrphanedKey[] {
    const runs = [...job.chunks].flatMap(([number, chunk]): readonly OrphanedKey[] => {
      // The parts of a run are written together with its record and have its revision. A run that was never
      // written has no known revision yet.
      const revision = chunk.version === 0 ? null : chunk.version;
      const parts = Array.from({ length: chunk.parts }, (_, part) =>
        runPartKey(this.dependencies.shardId, job.spec.id, number, part),
      );
      return [runKey(this.dependencies.shardId, job.spec.id, number), ...parts].map((key) => ({
        key,
        revision,
        reason: 'job over',
      }));
    });
    const dependencyLists = Array.from({ length: job.dependencyParts }, (_, part): OrphanedKey => ({
      key: dependencyListKey(job.spec.id, part),
      revision: null,
      reason: 'job over',
    }));
    return [...runs, ...dependencyLists];
  }
}
