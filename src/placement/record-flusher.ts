import { FLUSH_DELAY_MS, FLUSH_INTERVAL_MS, IMMEDIATE_FLUSH_RATE_FRACTION } from '../constants/placement.js';
import type { FinalRecord, FinalState } from '../jobs/model.js';
import type { OrphanedKeys } from './orphaned-keys.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { ShardState } from './shard-state.js';
import { isFinished, type ShardJob } from './shard-model.js';
import type { FinalRecordWriter } from './final-record-writer.js';
import type { RunWrite, RunWriter } from './run-writer.js';

/** What the record flusher needs of its share. */
export interface RecordFlusherDependencies {
  readonly store: KeyValueStore;
  readonly shardState: ShardState;
  readonly runs: RunWriter;
  readonly finalRecords: FinalRecordWriter;
  readonly orphanedKeys: OrphanedKeys;
  readonly now: () => number;
  /** The share's claim is no longer held by this process. */
  readonly isLost: () => boolean;
  /** Asks for another placement round. */
  readonly requestRound: () => void;
  /** A job's final record is durable. */
  readonly onFinalRecord: (job: string, final: FinalRecord) => void;
}

/**
 * Writes what changed in a share to the state service, in batches: finished tasks, final records, left-over
 * keys.
 */
export class RecordFlusher {
  private flushing = false;
  private flushedAt = 0;

  constructor(private readonly dependencies: RecordFlusherDependencies) {}

  /** Finished tasks, and bindings that are gone. Jobs that are all done go straight to their final record. */
  flush(): void {
    const now = this.dependencies.now();
    if (this.flushing || now - this.flushedAt < FLUSH_INTERVAL_MS || this.dependencies.isLost()) return;
    const { changes } = this.dependencies.store;
    const ageMs = changes.demand() < changes.perSecond * IMMEDIATE_FLUSH_RATE_FRACTION ? 0 : FLUSH_DELAY_MS;
    const entries: { write: RunWrite }[] = [];
    for (const job of this.dependencies.shardState.jobs.values()) {
      if (job.finishing || job.writesUnderWay > 0) continue;
      if (job.bindings.size === 0 && (job.cancelled || isFinished(job))) continue;
      for (const [number, chunk] of job.chunks) {
        if (chunk.dirtySince !== null && now - chunk.dirtySince >= ageMs)
          entries.push({ write: this.dependencies.runs.runWrite(job, number) });
      }
    }
    const { orphanedKeys } = this.dependencies;
    if (entries.length === 0 && !orphanedKeys.due) return;
    this.flushing = true;
    this.flushedAt = now;
    const work = async (): Promise<void> => {
      // One at a time: what changes meanwhile shares the next.
      for (const batch of this.dependencies.runs.batches(entries).slice(0, 1))
        await this.dependencies.runs.commitRuns(
          batch.map((entry) => entry.write),
          'work',
        );
      if (orphanedKeys.due) await orphanedKeys.step();
    };
    void work().finally(() => {
      this.flushing = false;
      this.dependencies.requestRound();
    });
  }

  /** Writes the final records of jobs that are over and have no task left. */
  finishJobs(): void {
    let batch: { job: ShardJob; state: FinalState }[] = [];
    let size = 0;
    const send = (): void => {
      const sent = batch;
      batch = [];
      size = 0;
      if (sent.length === 0) return;
      void this.dependencies.finalRecords.finish(sent).then(({ done, orphanedKeys }) => {
        for (const { job, final } of done) {
          this.dependencies.shardState.jobs.delete(job.spec.id);
          this.dependencies.onFinalRecord(job.spec.id, final);
        }
        for (const { job } of sent) this.dependencies.shardState.dropIfOver(job);
        this.dependencies.orphanedKeys.discard(orphanedKeys);
        this.dependencies.requestRound();
      });
    };
    for (const job of this.dependencies.shardState.jobs.values()) {
      if (job.finishing || job.writesUnderWay > 0 || job.bindings.size > 0) continue;
      if (!job.cancelled && !isFinished(job)) continue;
      const more = this.dependencies.finalRecords.changesOf(job);
      if (job.finishSeparately || size + more > this.dependencies.store.batchWrites) send();
      batch.push({ job, state: job.cancelled ? 'cancelled' : 'done' });
      size += more;
      if (job.finishSeparately) send();
    }
    send();
  }
}
