import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { MAX_CONCURRENT_TRANSACTIONS } from '../constants/placement.js';
import type { Condition, KeyValueStore, TransactionResult, Write } from '../kv-store/client.js';
import { claimKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';

/** What the transactions need of their share. */
export interface ClaimTransactionsDependencies {
  readonly store: KeyValueStore;
  readonly shardId: number;
  readonly claim: number;
  /** Another holder's claim showed up in a condition. */
  readonly markLost: () => void;
  readonly isLost: () => boolean;
}

/** Transactions of a share: conditional on its claim, carried to a known end, several side by side. */
export class ClaimTransactions {
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(private readonly dependencies: ClaimTransactionsDependencies) {}

  private claimCondition(): Condition {
    return { key: claimKey(String(this.dependencies.shardId)), version: this.dependencies.claim };
  }

  /** Transactions under way are few: each has its time limit, which waiting for a socket would use up. */
  private async withSlot<A>(work: () => Promise<A>): Promise<A> {
    if (this.running >= MAX_CONCURRENT_TRANSACTIONS)
      await new Promise<void>((resolve) => {
        this.queue.push(resolve);
      });
    else this.running += 1;
    try {
      return await work();
    } finally {
      const next = this.queue.shift();
      if (next) next();
      else this.running -= 1;
    }
  }

  /**
   * Carries a transaction to a known end. Without an answer it may still be applied later, so the same one
   * is sent again until it is committed or can no longer be: every write is conditional on the version of a
   * key that only this holder changes (`witness`), which tells a late first copy from somebody else's change.
   */
  commit(
    when: readonly Condition[],
    writes: readonly Write[],
    witness: string,
    rank: RequestPriority,
  ): Promise<TransactionResult> {
    return this.withSlot(() => Effect.runPromise(this.attempts(when, writes, witness, rank)));
  }

  private attempts(
    when: readonly Condition[],
    writes: readonly Write[],
    witness: string,
    rank: RequestPriority,
  ): Effect.Effect<TransactionResult> {
    return Effect.gen({ self: this }, function* () {
      let unsure = false;
      for (;;) {
        if (this.dependencies.isLost() && !unsure) return { _tag: 'refused', why: 'lost' };
        const result = yield* this.dependencies.store.compareAndSwap(
          [this.claimCondition(), ...when],
          writes,
          rank,
        );
        switch (result._tag) {
          case 'committed':
            return result;
          case 'noLease':
            return result;
          case 'refused':
            if (!unsure) return result;
            break;
          case 'unknown':
            unsure = true;
            break;
          case 'conflict': {
            if (result.failed.includes(this.claimCondition().key)) {
              this.dependencies.markLost();
              return result;
            }
            if (!unsure) return result;
            const now = yield* this.dependencies.store.get(witness, rank);
            const before = when.find((condition) => condition.key === witness)?.version ?? 0;
            if (now._tag === 'found' && now.item.version !== before) {
              return { _tag: 'committed', revision: now.item.version };
            }
            if (now._tag === 'absent' && before !== 0) return { _tag: 'committed', revision: 0 };
            if (now._tag !== 'failed') return result;
            break;
          }
        }
        if (this.dependencies.isLost()) return { _tag: 'refused', why: 'lost' };
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
      }
    });
  }

  /**
   * Left-over keys, under the claim alone. They cost nothing but room, so a failure is simply tried again
   * later.
   */
  async remove(keys: readonly string[]): Promise<boolean> {
    const result = await Effect.runPromise(
      this.dependencies.store.compareAndSwap(
        [this.claimCondition()],
        keys.map((key) => ({ _tag: 'delete', key })),
        'work',
      ),
    );
    return result._tag === 'committed';
  }
}
