import type { OrphanedKey } from '@dalegate/fencing';
import { writeFinalRecord } from '../jobs/codec.js';
import type { FinalRecord, FinalState } from '../jobs/model.js';
import { log } from '../log.js';
import type { KeyValueStore, Write } from '../kv-store/client.js';
import { finalKey, followsKey, jobKey, runKey, runPartKey } from '../kv-store/keys.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardJob } from './shard-model.js';

/** Jobs whose final records are durable, and runs that are left to clear away. */
export interface Finished {
  readonly done: readonly { readonly job: ShardJob; readonly final: FinalRecord }[];
  readonly orphanedKeys: readonly OrphanedKey[];
}

/** What the writer of final records needs of its share. */
export interface FinalRecordWriterDependencies {
  readonly transactions: ClaimTransactions;
  readonly store: KeyValueStore;
  readonly shardId: number;
  /** ms since the epoch. */
  readonly wall: () => number;
}

/** Writes the final records of jobs that are over, in place of everything else that is stored of them. */
export class FinalRecordWriter {
  constructor(private readonly dependencies: FinalRecordWriterDependencies) {}

  /** How many changes the final record of a job takes, with all its runs. */
  changesOf(job: ShardJob): number {
    let parts = job.dependencyParts;
    for (const chunk of job.chunks.values()) parts += 1 + chunk.parts;
    return 2 + parts;
  }

  /**
   * Final records of jobs in one transaction. Returns those that are durable, with runs left to clear away.
   */
  async finish(jobs: readonly { readonly job: ShardJob; readonly state: FinalState }[]): Promise<Finished> {
    const first = jobs[0];
    if (!first) return { done: [], orphanedKeys: [] };
    const orphanedKeys: OrphanedKey[] = [];
    const writes: Write[] = [];
    const finals = jobs.map(({ job, state }) => ({
      job,
      final: { state, at: this.dependencies.wall(), tasks: job.spec.tasks },
    }));
    for (const { job, final } of finals) {
      job.finishing = true;
      writes.push(
        { _tag: 'put', key: finalKey(job.spec.id), value: writeFinalRecord(final) },
        { _tag: 'delete', key: jobKey(job.spec.id) },
      );
    }
    for (const key of jobs.flatMap(({ job }) => this.keysOf(job))) {
      if (writes.length < this.dependencies.store.maxTransactionWrites)
        writes.push({ _tag: 'delete', key: key.key });
      else orphanedKeys.push(key);
    }
    const result = await this.dependencies.transactions.commit(
      jobs.flatMap(({ job }) => [
        { key: jobKey(job.spec.id), version: job.version },
        // Only the holder writes it, so it tells whether an unanswered copy was applied; a user's late
        // cancellation changes the job's record too, and would pass for it.
        { key: finalKey(job.spec.id), version: 0 },
      ]),
      writes,
      finalKey(first.job.spec.id),
      'bind',
    );
    if (result._tag !== 'committed') {
      for (const { job } of jobs) {
        job.finishing = false;
        if (
          result._tag === 'conflict' &&
          result.failed.some((key) => key === jobKey(job.spec.id) || key === finalKey(job.spec.id))
        )
          job.finishSeparately = true;
      }
      return { done: [], orphanedKeys: [] };
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

  /** Everything that is stored of a job beside its record. */
  private keysOf(job: ShardJob): readonly OrphanedKey[] {
    const runs = [...job.chunks].flatMap(([number, chunk]): readonly OrphanedKey[] => {
      // The parts of a run are written together with its record. One that was never written has no revision
      // yet.
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
    const follows = Array.from({ length: job.dependencyParts }, (_, part): OrphanedKey => ({
      key: followsKey(job.spec.id, part),
      revision: null,
      reason: 'job over',
    }));
    return [...runs, ...follows];
  }
}
