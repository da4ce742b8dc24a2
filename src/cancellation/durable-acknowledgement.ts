import * as Effect from 'effect/Effect';
import { DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS } from '../constants/cancellation.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { claimKey, acknowledgementKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { writeAcknowledgement } from './codec.js';

/** A holder's durable word: under this claim it has seen the shared keys up to this revision. */
export interface DurableAcknowledgement {
  readonly claim: number;
  readonly revision: number;
}

/** What durable acknowledgements need of the rest of the controller. */
export interface DurableAcknowledgementsInput {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get' | 'revision'>;
  /** Shares held here whose book is loaded, with their claims. */
  readonly held: () => readonly { readonly shardId: number; readonly claim: number }[];
  /** Every other node is heard, so each can ask. */
  readonly allHeard: () => boolean;
}

/**
 * Where connections between nodes are refused, holders say through the state service that they have seen
 * cancellations.
 */
export class DurableAcknowledgements {
  /** Revision of the last cancellation seen of each share, until it is marked. */
  private readonly wanted = new Map<number, number>();
  constructor(private readonly input: DurableAcknowledgementsInput) {}

  /** The shared keys show that a job of the share is cancelled. */
  saw(shardId: number, version: number): void {
    this.wanted.set(shardId, Math.max(version, this.wanted.get(shardId) ?? 0));
  }

  private mark(shardId: number, claim: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const key = acknowledgementKey(String(shardId));
      const before = this.input.cache.get(key);
      const { revision } = this.input.cache;
      const result = yield* this.input.store.compareAndSwap(
        // Conditional on itself too: a late copy must not take back what a newer one says.
        [
          { key: claimKey(String(shardId)), version: claim },
          { key, version: before?.version ?? 0 },
        ],
        [{ _tag: 'put', key, value: writeAcknowledgement({ claim, revision }) }],
        'user',
      );
      if (result._tag === 'committed' && (this.wanted.get(shardId) ?? 0) <= revision)
        this.wanted.delete(shardId);
    });
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS);
      const held = this.input.held();
      for (const shardId of this.wanted.keys())
        if (!held.some((shard) => shard.shardId === shardId)) this.wanted.delete(shardId);
      // Asked directly, a holder answers sooner and for nothing.
      if (this.input.allHeard()) continue;
      for (const { shardId, claim } of held) if (this.wanted.has(shardId)) yield* this.mark(shardId, claim);
    }
  });
}
