/**
 * Loads a shard's state after its claim was acquired: jobs from the watch cache, runs from the key-value
 * store, and what machines reported in the meantime. No state of its own; `Shard` runs it once.
 */
import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { readJobRecord } from '../jobs/job-record-codec.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { StoredEntry } from '../kv-store/model.js';
import { JOB_PREFIX, runsPrefix } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { log } from '../log.js';
import type { OrphanedKeys } from './orphaned-keys.js';
import type { ShardIdentity, StageQueries } from './ports.js';
import { RunLoader } from './run-loader.js';
import { bindingKey, type ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';

/** What the loader needs of its shard. */
export interface ShardLoaderDependencies extends ShardIdentity, Pick<StageQueries, 'isLost'> {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly shardOfTeam: ReadonlyMap<string, number>;
  readonly shardState: ShardState;
  readonly orphanedKeys: OrphanedKeys;
  /** Called when the runs have been read, before they are applied. */
  readonly onRunsRead: () => void;
  /** Called for each job whose readiness and effective priority are to be looked up. */
  readonly onEffectivePriority: (job: string) => void;
  /** Called when the whole state has been loaded. */
  readonly onLoaded: () => void;
}

/** Loads the state of a shard whose claim was just acquired. */
export class ShardLoader {
  constructor(private readonly dependencies: ShardLoaderDependencies) {}

  /**
   * Reads and applies the shard's runs, unless the claim is lost meanwhile: the next holder then reads them
   * itself. The watch cache already shows every change before the claim's own revision.
   */
  readonly load: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const { store, shardId, isLost } = this.dependencies;
    while (!isLost()) {
      const runs = yield* store.list(runsPrefix(shardId), 'user');
      if (runs._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
        continue;
      }
      if (!isLost()) this.applyRuns(runs.entries);
      return;
    }
  });

  private applyRuns(runs: readonly StoredEntry[]): void {
    const { shardId, claim, shardState, orphanedKeys, onRunsRead, onLoaded } = this.dependencies;
    onRunsRead();
    this.loadJobs();
    orphanedKeys.discard(new RunLoader({ shardId, shardState }).loadAll(runs));
    for (const machine of shardState.machines.values()) this.applyReports(machine);
    log.info({
      event: 'shard.loaded',
      shardId,
      claim,
      jobs: shardState.jobs.size,
      machines: shardState.machines.size,
    });
    onLoaded();
  }

  private loadJobs(): void {
    const { cache, shardOfTeam, shardId, shardState, onEffectivePriority } = this.dependencies;
    for (const item of cache.entriesOfKind(JOB_PREFIX)) {
      const record = readJobRecord(item.value);
      if (shardOfTeam.get(record.spec.team) === shardId) shardState.applyJobRecord(record, item.version);
      onEffectivePriority(record.spec.id);
    }
  }

  /** Applies what a machine reported before its bindings were known. */
  private applyReports(machine: ShardMachine): void {
    machine.free = null;
    for (const task of machine.reportedTasks) {
      const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
      if (binding) this.dependencies.shardState.apply(binding, { _tag: 'reported', state: task.state });
    }
  }
}
