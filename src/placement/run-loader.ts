import type { OrphanedKey } from '@dalegate/fencing';
import type { StoredEntry } from '../kv-store/client.js';
import { parseRunKey, runKey, runPartKey } from '../kv-store/keys.js';
import { isValid, partsOf, readRunRecord, validAttempt } from './run-codec.js';
import { durableKeys } from './run-records.js';
import type { ShardState } from './shard-state.js';

/** What the run loader needs of its share. */
export interface RunLoaderDependencies {
  readonly shardId: number;
  readonly shardState: ShardState;
}

/** Rebuilds a share's bindings from the run records that the state service holds, at a takeover. */
export class RunLoader {
  /** Keys that belong to no job any more. */
  private readonly orphanedKeys: OrphanedKey[] = [];

  constructor(private readonly dependencies: RunLoaderDependencies) {}

  /** Takes in all runs of the share; returns the keys that are left over. */
  loadAll(items: readonly StoredEntry[]): readonly OrphanedKey[] {
    const byKey = new Map(items.map((item) => [item.key, item]));
    for (const item of items) this.load(item, byKey);
    return this.orphanedKeys;
  }

  private load(item: StoredEntry, items: ReadonlyMap<string, StoredEntry>): void {
    const name = parseRunKey(item.key);
    const job = name ? this.dependencies.shardState.jobs.get(name.job) : undefined;
    if (!name || !job) {
      this.orphanedKeys.push({ key: item.key, revision: item.version, reason: 'belongs to no job' });
      return;
    }
    // Parts are read with the record that they belong to; one that it doesn't name is left over.
    if (name.part !== null) {
      const whole = items.get(runKey(this.dependencies.shardId, name.job, name.chunk));
      if (!whole || name.part >= partsOf(whole.value))
        this.orphanedKeys.push({ key: item.key, revision: item.version, reason: 'part not named' });
      return;
    }
    const count = partsOf(item.value);
    const parts = Array.from(
      { length: count },
      (_, part) =>
        items.get(runPartKey(this.dependencies.shardId, name.job, name.chunk, part))?.value ?? { b: [] },
    );
    const record = readRunRecord(item.value, name.chunk, parts);
    job.attempt = Math.max(job.attempt, record.attempt);
    for (const index of record.done) job.done.add(index);
    const first = items.get(runKey(this.dependencies.shardId, name.job, 0))?.value;
    if (name.chunk === 0) job.validAttempt = validAttempt(first);
    // Prepared for a bind that never was: it counts for nothing, and is cleared.
    const valid = isValid(item.value, first);
    const chunk = {
      version: item.version,
      parts: count,
      durable: valid ? durableKeys(job.spec.id, record) : new Set<string>(),
      dirtySince: null as number | null,
    };
    job.chunks.set(name.chunk, chunk);
    if (!valid) chunk.dirtySince = 0;
    for (const bound of valid ? record.bindings : []) {
      const machine = this.dependencies.shardState.machines.get(bound.machine);
      // No record of the machine: it was released, and that was answered 200.
      if (!machine) {
        chunk.dirtySince = 0;
        continue;
      }
      const binding = this.dependencies.shardState.bind(job, bound.index, bound.attempt, machine, {
        _tag: 'bound',
      });
      if (job.cancelled) this.dependencies.shardState.stop(binding, 'cancelled', 0);
    }
    if (job.spec.kind === 'gang' && job.bindings.size > 0 && job.bindings.size < job.spec.tasks)
      this.dependencies.shardState.stopBrokenGang(job);
  }
}
