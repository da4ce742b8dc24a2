/**
 * Removes the orphaned keys of a shard: keys to which no job or run record refers any more. If fencing is
 * off, `ImmediateRemoval` owns the list of such keys; otherwise the garbage collector of `@dalegate/fencing`
 * owns it. `RecordFlusher` and `ShardLoader` add keys.
 */
import { GarbageCollector, type Duty, type OrphanedKey, type Tombstone } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { fencedValue } from '../duties/fenced-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { parseRunKey, tombstonesKey } from '../kv-store/keys.js';
import { log } from '../log.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardIdentity, ValueLimits, WallClock } from './ports.js';

/** Collects and removes the orphaned keys of a shard. */
export interface OrphanedKeys {
  /** Adds keys that are to be removed later. */
  discard(keys: readonly OrphanedKey[]): void;
  /** Whether `step` has anything to do now. */
  readonly hasWork: boolean;
  /**
   * Removes a batch of keys, or writes tombstones for the batch if the keys need tombstones before their
   * removal.
   */
  step(): Promise<void>;
}

/** Removes keys conditional on the claim alone, without tombstones; used if fencing is off. */
export class ImmediateRemoval implements OrphanedKeys {
  private readonly keys: string[] = [];

  constructor(
    private readonly store: KeyValueStore,
    private readonly transactions: ClaimTransactions,
  ) {}

  discard(keys: readonly OrphanedKey[]): void {
    this.keys.push(...keys.map(({ key }) => key));
  }

  get hasWork(): boolean {
    return this.keys.length > 0;
  }

  async step(): Promise<void> {
    const batch = this.keys.splice(0, this.store.batchWrites);
    if (batch.length > 0 && !(await this.transactions.remove(batch))) this.keys.push(...batch);
  }
}

/** What `TombstonedRemoval` needs of its shard. */
export interface TombstonedRemovalDependencies
  extends ShardIdentity, WallClock, Pick<ValueLimits, 'valueBytes'> {
  readonly store: KeyValueStore;
  readonly duty: Duty;
  /** Whether the shard knows this job, or the watch cache holds its record. */
  readonly isJobKnown: (job: string) => boolean;
}

/** Removes keys in two steps, each conditional on the duty's token and the revision of every key. */
export class TombstonedRemoval implements OrphanedKeys {
  private readonly garbageCollector: GarbageCollector;

  constructor(private readonly dependencies: TombstonedRemovalDependencies) {
    const { store, shardId, duty } = dependencies;
    this.garbageCollector = new GarbageCollector({
      value: fencedValue(store, tombstonesKey(shardId), String(shardId), 'work'),
      beginStep: () => duty.begin('removal of left-over state'),
      inUse: (key) => this.inUse(key),
      // The tombstone record is one more change in the transaction.
      batchSize: () => Math.max(1, store.batchWrites - 1),
      maxBytes: dependencies.valueBytes * VALUE_FILL_FRACTION,
      timeOfDay: dependencies.wall,
      revisionOf: async (key) => {
        const result = await Effect.runPromise(store.get(key, 'work'));
        switch (result._tag) {
          case 'found':
            return { _tag: 'revision', revision: result.entry.version };
          case 'absent':
            return { _tag: 'absent' };
          case 'failed':
            return { _tag: 'unavailable' };
        }
      },
      onCollected: (keys) => this.logRemoved(keys),
    });
  }

  /**
   * Whether the job that a key belongs to exists after all. Keys of parts and of dependency lists contain the
   * job's name as well.
   */
  private inUse(key: string): boolean {
    const job = parseRunKey(key)?.job ?? key.split('/')[2];
    return job !== undefined && this.dependencies.isJobKnown(job);
  }

  private logRemoved(keys: readonly Tombstone[]): void {
    if (keys.length === 0) return;
    log.info({
      event: 'orphaned_keys.removed',
      shardId: this.dependencies.shardId,
      claim: this.dependencies.claim,
      keys: keys.map(({ key, reason, token }) => ({ key, reason, markedUnder: token })),
    });
  }

  discard(keys: readonly OrphanedKey[]): void {
    this.garbageCollector.enqueue(keys);
  }

  get hasWork(): boolean {
    return this.garbageCollector.hasWork;
  }

  step(): Promise<void> {
    return this.garbageCollector.step();
  }
}
