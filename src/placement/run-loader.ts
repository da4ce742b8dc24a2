/**
 * Rebuilds a shard's bindings from the runs in the key-value store after a takeover. Owns the list of
 * orphaned keys of one load; `ShardLoader` creates an instance for each load.
 */
import type { OrphanedKey } from '@dalegate/fencing';
import type { StoredEntry } from '../kv-store/model.js';
import { parseRunKey, runKey, runPartKey } from '../kv-store/keys.js';
import { isRunValid, partCountOf, readRunRecord, validAttempt } from './run-codec.js';
import { durableKeys, type RunRecord } from './run-records.js';
import type { Chunk, ShardJob } from './shard-model.js';
import type { ShardIdentity } from './ports.js';
import type { ShardState } from './shard-state.js';

/** What the run loader needs of its shard. */
export interface RunLoaderDependencies extends Pick<ShardIdentity, 'shardId'> {
  readonly shardState: ShardState;
}

type Entries = ReadonlyMap<string, StoredEntry>;

/** Applies the stored runs of one shard to its state. */
export class RunLoader {
  private readonly orphanedKeys: OrphanedKey[] = [];

  constructor(private readonly dependencies: RunLoaderDependencies) {}

  /** Applies all runs of the shard; returns the orphaned keys, to which no job or run record refers. */
  loadAll(items: readonly StoredEntry[]): readonly OrphanedKey[] {
    const entries = new Map(items.map((item) => [item.key, item]));
    for (const item of items) this.load(item, entries);
    return this.orphanedKeys;
  }

  private load(item: StoredEntry, entries: Entries): void {
    const name = parseRunKey(item.key);
    const job = name ? this.dependencies.shardState.jobs.get(name.job) : undefined;
    if (!name || !job) this.discard(item, 'belongs to no job');
    else if (name.part === null) this.loadRun(item, job, name.chunk, entries);
    else this.checkPart(item, name.job, name.chunk, name.part, entries);
  }

  private discard(item: StoredEntry, reason: OrphanedKey['reason']): void {
    this.orphanedKeys.push({ key: item.key, revision: item.version, reason });
  }

  /**
   * Discards a part whose run has no record, or whose number is beyond the part count in that record. The
   * other parts are read together with the record.
   */
  private checkPart(item: StoredEntry, job: string, chunk: number, part: number, entries: Entries): void {
    const whole = entries.get(runKey(this.dependencies.shardId, job, chunk));
    if (!whole || part >= partCountOf(whole.value)) this.discard(item, 'part not named');
  }

  private loadRun(item: StoredEntry, job: ShardJob, chunkNumber: number, entries: Entries): void {
    const { shardId } = this.dependencies;
    const { id } = job.spec;
    const count = partCountOf(item.value);
    const parts = Array.from(
      { length: count },
      (_, part) => entries.get(runPartKey(shardId, id, chunkNumber, part))?.value ?? { b: [] },
    );
    const record = readRunRecord(item.value, chunkNumber, parts);
    job.attempt = Math.max(job.attempt, record.attempt);
    for (const index of record.done) job.done.add(index);
    const first = entries.get(runKey(shardId, id, 0))?.value;
    if (chunkNumber === 0) job.validAttempt = validAttempt(first);
    // The bindings of an invalid run are ignored, and the run is overwritten: it was prepared for a bind that
    // never took effect.
    const valid = isRunValid(item.value, first);
    const chunk: Chunk = {
      version: item.version,
      parts: count,
      durable: valid ? durableKeys(id, record) : new Set<string>(),
      dirtySince: valid ? null : 0,
    };
    job.chunks.set(chunkNumber, chunk);
    if (valid) this.bindAll(record, job, chunk);
    if (job.spec.kind === 'gang' && job.bindings.size > 0 && job.bindings.size < job.spec.tasks)
      this.dependencies.shardState.stopBrokenGang(job);
  }

  private bindAll(record: RunRecord, job: ShardJob, chunk: Chunk): void {
    const { shardState } = this.dependencies;
    for (const { index, attempt, machine: machineId } of record.bindings) {
      const machine = shardState.machines.get(machineId);
      // A machine without a record was released: its record is deleted only after the cloud answered 200 to
      // the release.
      if (!machine) {
        chunk.dirtySince = 0;
        continue;
      }
      const binding = shardState.bind(job, index, attempt, machine, { _tag: 'bound' });
      if (job.cancelled) shardState.stop(binding, 'cancelled', 0);
    }
  }
}
