/**
 * Executes the transactions of a shard. Each is conditional on the shard's claim and is retried until its
 * outcome is known or the claim is lost; a bounded number run concurrently. Owns the number of transactions
 * in progress and the queue of those that wait. The writers of records call it.
 */
import * as Effect from 'effect/Effect';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { MAX_CONCURRENT_TRANSACTIONS } from '../constants/placement.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { Condition, TransactionResult, Write } from '../kv-store/model.js';
import { claimKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';
import type { ShardIdentity, StageQueries } from './ports.js';

/** What the transactions need of their shard. */
export interface ClaimTransactionsDependencies extends ShardIdentity, Pick<StageQueries, 'isLost'> {
  readonly store: KeyValueStore;
  /** Called when the condition on the claim failed, which shows that the claim has changed. */
  readonly markLost: () => void;
}

/** Changes that are applied atomically, on the additional condition that the claim is unchanged. */
export interface ClaimTransaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /**
   * One of the keys in the conditions. Only this holder changes it, so its revision shows whether a copy of
   * the transaction was applied.
   */
  readonly outcomeKey: string;
  readonly priority: RequestPriority;
}

type Conflict = Extract<TransactionResult, { _tag: 'conflict' }>;

/** The outcome of one attempt to commit. */
type AttemptOutcome =
  | { readonly _tag: 'ended'; readonly result: TransactionResult }
  /** The transaction may have been applied, or may be applied later. */
  | { readonly _tag: 'unacknowledged' }
  /** The attempt gave no new information. */
  | { readonly _tag: 'undecided' };

const UNACKNOWLEDGED: AttemptOutcome = { _tag: 'unacknowledged' };
const UNDECIDED: AttemptOutcome = { _tag: 'undecided' };
const ended = (result: TransactionResult): AttemptOutcome => ({ _tag: 'ended', result });
const LOST: TransactionResult = { _tag: 'refused', why: 'lost' };

/** The transactions of one shard. */
export class ClaimTransactions {
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(private readonly dependencies: ClaimTransactionsDependencies) {}

  /**
   * Sends a transaction repeatedly until its outcome is known or the claim is lost. A transaction without an
   * answer may still be applied later, so the same transaction is sent again until it is committed or can no
   * longer be committed. Every copy is conditional on the revision of the outcome key, which distinguishes a
   * late first copy from a change by another client.
   */
  commit(transaction: ClaimTransaction): Promise<TransactionResult> {
    return this.withSlot(() => Effect.runPromise(this.retryUntilDecided(transaction)));
  }

  /**
   * Bounds the number of transactions in progress: each has a time limit, and waiting for a socket would use
   * it up.
   */
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

  private retryUntilDecided(transaction: ClaimTransaction): Effect.Effect<TransactionResult> {
    return Effect.gen({ self: this }, function* () {
      const { isLost } = this.dependencies;
      /** Whether an earlier copy may have been applied, or may be applied later. */
      let unacknowledged = false;
      for (;;) {
        if (isLost() && !unacknowledged) return LOST;
        const outcome: AttemptOutcome = yield* this.attempt(transaction, unacknowledged);
        if (outcome._tag === 'ended') return outcome.result;
        unacknowledged ||= outcome._tag === 'unacknowledged';
        if (isLost()) return LOST;
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
      }
    });
  }

  private attempt(transaction: ClaimTransaction, unacknowledged: boolean): Effect.Effect<AttemptOutcome> {
    return Effect.gen({ self: this }, function* () {
      const { conditions, writes, priority } = transaction;
      const result = yield* this.dependencies.store.compareAndSwap(
        [this.claimCondition(), ...conditions],
        writes,
        priority,
      );
      switch (result._tag) {
        case 'committed':
        case 'noLease':
          return ended(result);
        case 'refused':
          return unacknowledged ? UNDECIDED : ended(result);
        case 'unknown':
          return UNACKNOWLEDGED;
        case 'conflict':
          return yield* this.onConflict(transaction, result, unacknowledged);
      }
    });
  }

  /**
   * Handles a conflict. If an earlier copy is unacknowledged, that copy may be the cause of the conflict: the
   * revision of the outcome key shows whether it was applied.
   */
  private onConflict(
    { conditions, outcomeKey, priority }: ClaimTransaction,
    conflict: Conflict,
    unacknowledged: boolean,
  ): Effect.Effect<AttemptOutcome> {
    return Effect.gen({ self: this }, function* () {
      const { store, markLost } = this.dependencies;
      if (conflict.failed.includes(this.claimCondition().key)) {
        markLost();
        return ended(conflict);
      }
      if (!unacknowledged) return ended(conflict);
      const current = yield* store.get(outcomeKey, priority);
      const before = conditions.find((condition) => condition.key === outcomeKey)?.version ?? 0;
      switch (current._tag) {
        case 'found':
          if (current.entry.version === before) return ended(conflict);
          return ended({ _tag: 'committed', revision: current.entry.version });
        case 'absent':
          return ended(before === 0 ? conflict : { _tag: 'committed', revision: 0 });
        case 'failed':
          return UNDECIDED;
      }
    });
  }

  private claimCondition(): Condition {
    const { shardId, claim } = this.dependencies;
    return { key: claimKey(String(shardId)), version: claim };
  }

  /**
   * Deletes orphaned keys, conditional on the claim alone. The keys only occupy space, so a failed deletion
   * is simply repeated later.
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
