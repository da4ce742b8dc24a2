/**
 * Writes the changed runs and the final records of a shard to the key-value store in batches, and removes
 * orphaned keys. Owns whether a flush is in progress and when the last flush began. `Shard` calls it in each
 * round.
 */
import { FLUSH_DELAY_MS, FLUSH_INTERVAL_MS, IMMEDIATE_FLUSH_RATE_FRACTION } from '../constants/placement.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { FinalRecordWriter, FinishedJob } from './final-record-writer.js';
import type { OrphanedKeys } from './orphaned-keys.js';
import type { RoundTrigger, StageQueries, SteadyClock } from './ports.js';
import type { RunWrite, RunWriter } from './run-writer.js';
import type { ShardContext } from './shard-context.js';
import { isFinished, type ShardJob } from './shard-model.js';
import type { ShardState } from './shard-state.js';

/** What the record flusher needs of its shard. */
export interface RecordFlusherDependencies
  extends SteadyClock, Pick<StageQueries, 'isLost'>, RoundTrigger, Pick<ShardContext, 'onFinalRecord'> {
  readonly store: KeyValueStore;
  readonly shardState: ShardState;
  readonly runs: RunWriter;
  readonly finalRecords: FinalRecordWriter;
  readonly orphanedKeys: OrphanedKeys;
}

/** Whether the job has ended: it is done or cancelled, and no task of it is bound to a machine. */
const isOver = (job: ShardJob): boolean => job.bindings.size === 0 && (job.cancelled || isFinished(job));

/** The flusher of one shard. */
export class RecordFlusher {
  private flushing = false;
  /** ms on the steady clock: when the last flush began. */
  private flushedAt = 0;

  constructor(private readonly dependencies: RecordFlusherDependencies) {}

  /**
   * Writes one batch of changed runs, whose tasks finished or whose bindings are gone, and removes orphaned
   * keys. Runs of jobs that have ended are not written: `finishJobs` writes the final records of those jobs.
   */
  flush(): void {
    const { now, isLost, orphanedKeys, requestRound } = this.dependencies;
    const begunAt = now();
    if (this.flushing || begunAt - this.flushedAt < FLUSH_INTERVAL_MS || isLost()) return;
    const entries = this.dirtyRuns(begunAt);
    if (entries.length === 0 && !orphanedKeys.hasWork) return;
    this.flushing = true;
    this.flushedAt = begunAt;
    void this.write(entries).finally(() => {
      this.flushing = false;
      requestRound();
    });
  }

  /**
   * Runs that have differed from their stored record for `FLUSH_DELAY_MS`. The delay is 0 while the demand
   * for changes (changes per second) is below `IMMEDIATE_FLUSH_RATE_FRACTION` of the key-value store's rate.
   */
  private dirtyRuns(now: number): readonly { readonly write: RunWrite }[] {
    const { store, shardState, runs } = this.dependencies;
    const { changes } = store;
    const delayMs = changes.demand() < changes.perSecond * IMMEDIATE_FLUSH_RATE_FRACTION ? 0 : FLUSH_DELAY_MS;
    const entries: { write: RunWrite }[] = [];
    for (const job of shardState.jobs.values()) {
      if (job.finishing || job.writesInProgress > 0 || isOver(job)) continue;
      for (const [number, chunk] of job.chunks) {
        if (chunk.dirtySince !== null && now - chunk.dirtySince >= delayMs)
          entries.push({ write: runs.runWrite(job, number) });
      }
    }
    return entries;
  }

  /** Writes one batch of runs; later changes are written with the next batch. */
  private async write(entries: readonly { readonly write: RunWrite }[]): Promise<void> {
    const { runs, orphanedKeys } = this.dependencies;
    const [batch] = runs.batches(entries);
    if (batch) {
      const writes = batch.map((entry) => entry.write);
      await runs.commitRuns(writes, 'work');
    }
    if (orphanedKeys.hasWork) await orphanedKeys.step();
  }

  /** Writes the final records of jobs that have ended. */
  finishJobs(): void {
    const { shardState, finalRecords, store } = this.dependencies;
    let batch: FinishedJob[] = [];
    let size = 0;
    const send = (): void => {
      if (batch.length > 0) void this.finish(batch);
      batch = [];
      size = 0;
    };
    for (const job of shardState.jobs.values()) {
      if (job.finishing || job.writesInProgress > 0 || !isOver(job)) continue;
      const more = finalRecords.changeCountOf(job);
      if (job.finishSeparately || size + more > store.batchWrites) send();
      batch.push({ job, state: job.cancelled ? 'cancelled' : 'done' });
      size += more;
      if (job.finishSeparately) send();
    }
    send();
  }

  private async finish(jobs: readonly FinishedJob[]): Promise<void> {
    const { shardState, finalRecords, orphanedKeys, onFinalRecord, requestRound } = this.dependencies;
    const finished = await finalRecords.finish(jobs);
    for (const { job, final } of finished.done) {
      shardState.removeFinishedJob(job);
      onFinalRecord(job.spec.id, final);
    }
    for (const { job } of jobs) shardState.removeIfRecordDeleted(job);
    orphanedKeys.discard(finished.orphanedKeys);
    requestRound();
  }
}
