/**
 * Records in the key-value store which cancellations the holder of a shard has seen, for deployments in which
 * controllers cannot connect to each other. Owns, for each shard, the revision of the last cancellation that
 * is not recorded yet. The change dispatcher reports cancellations to it.
 */
import * as Effect from 'effect/Effect';
import { DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS } from '../constants/cancellation.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, acknowledgementKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { writeDurableAcknowledgement } from './codec.js';

/** A shard that this process holds, with the revision of its claim. */
export interface ClaimedShard {
  readonly shardId: number;
  readonly claim: number;
}

/** What durable acknowledgements need from the rest of the controller. */
export interface DurableAcknowledgementsDependencies {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'revision'>;
  /** The shards that this process holds and has loaded. */
  readonly loadedShards: () => readonly ClaimedShard[];
  /** Whether every peer sent a heartbeat recently, so that each can request acknowledgements directly. */
  readonly allPeersConnected: () => boolean;
}

/** Records in the key-value store which cancellations this controller has seen as the holder of shards. */
export class DurableAcknowledgements {
  /** Maps the id of each shard to the revision of its last cancellation that is not recorded yet. */
  private readonly pending = new Map<number, number>();

  constructor(private readonly dependencies: DurableAcknowledgementsDependencies) {}

  /** Notes that the watch cache shows, at this revision, that a job of the shard is cancelled. */
  noteCancellation(shardId: number, revision: number): void {
    this.pending.set(shardId, Math.max(revision, this.pending.get(shardId) ?? 0));
  }

  /**
   * Records pending acknowledgements at a fixed interval, but only while some peer cannot request them
   * directly. Runs without end.
   */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS);
      const loaded = this.dependencies.loadedShards();
      this.discardOtherShards(loaded);
      // The holder answers a direct request sooner and without a write to the key-value store.
      if (this.dependencies.allPeersConnected()) continue;
      for (const shard of loaded) if (this.pending.has(shard.shardId)) yield* this.record(shard);
    }
  });

  /** Discards the pending cancellations of shards that are not loaded here. */
  private discardOtherShards(loaded: readonly ClaimedShard[]): void {
    for (const shardId of this.pending.keys())
      if (!loaded.some((shard) => shard.shardId === shardId)) this.pending.delete(shardId);
  }

  private record({ shardId, claim }: ClaimedShard): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { store, cache } = this.dependencies;
      const key = acknowledgementKey(String(shardId));
      const existing = cache.get(key);
      const { revision } = cache;
      const result = yield* store.compareAndSwap(
        // The second condition prevents a delayed write from overwriting a newer acknowledgement.
        [
          { key: claimKey(String(shardId)), version: claim },
          { key, version: existing?.version ?? 0 },
        ],
        [{ _tag: 'put', key, value: writeDurableAcknowledgement({ claim, revision }) }],
        'user',
      );
      if (result._tag === 'committed' && (this.pending.get(shardId) ?? 0) <= revision)
        this.pending.delete(shardId);
    });
  }
}
