/**
 * Where connections between controllers are refused, holders record in the key-value store that they have
 * seen cancellations. Owns the revision of the last cancellation of each shard that is not recorded yet; the
 * change dispatcher tells it of cancellations.
 */
import * as Effect from 'effect/Effect';
import { DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS } from '../constants/cancellation.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, acknowledgementKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { writeDurableAcknowledgement } from './codec.js';

/** A shard held here, with the revision of its claim. */
export interface ClaimedShard {
  readonly shardId: number;
  readonly claim: number;
}

/** What durable acknowledgements need of the rest of the controller. */
export interface DurableAcknowledgementsDependencies {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'revision'>;
  /** The shards held here that are loaded. */
  readonly loadedShards: () => readonly ClaimedShard[];
  /** Has every peer sent a heartbeat recently, so that each can ask? */
  readonly allPeersConnected: () => boolean;
}

/** Records in the key-value store that holders have seen cancellations. */
export class DurableAcknowledgements {
  /** Revision of the last cancellation seen of each shard, until it is recorded. */
  private readonly pending = new Map<number, number>();

  constructor(private readonly dependencies: DurableAcknowledgementsDependencies) {}

  /** The shared keys show at this revision that a job of the shard is cancelled. */
  noteCancellation(shardId: number, revision: number): void {
    this.pending.set(shardId, Math.max(revision, this.pending.get(shardId) ?? 0));
  }

  /** Records what is pending for as long as a peer can't ask directly. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS);
      const loaded = this.dependencies.loadedShards();
      this.discardOtherShards(loaded);
      // Asked directly, a holder answers sooner and for nothing.
      if (this.dependencies.allPeersConnected()) continue;
      for (const shard of loaded) if (this.pending.has(shard.shardId)) yield* this.record(shard);
    }
  });

  private discardOtherShards(loaded: readonly ClaimedShard[]): void {
    for (const shardId of this.pending.keys())
      if (!loaded.some((shard) => shard.shardId === shardId)) this.pending.delete(shardId);
  }

  private record({ shardId, claim }: ClaimedShard): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { store, cache } = this.dependencies;
      const key = acknowledgementKey(String(shardId));
      const before = cache.get(key);
      const { revision } = cache;
      const result = yield* store.compareAndSwap(
        // Conditional on itself too: a late copy must not take back what a newer one says.
        [
          { key: claimKey(String(shardId)), version: claim },
          { key, version: before?.version ?? 0 },
        ],
        [{ _tag: 'put', key, value: writeDurableAcknowledgement({ claim, revision }) }],
        'user',
      );
      if (result._tag === 'committed' && (this.pending.get(shardId) ?? 0) <= revision)
        this.pending.delete(shardId);
    });
  }
}
