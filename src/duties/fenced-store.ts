/**
 * Writes to the key-value store under a claim: transactions of a duty, and the values that only the holder
 * of a claim may write (the port `FencedValue` of the fencing package). Stateless.
 */
import type { FencedValue, FencingToken, Permit, ReadOutcome, WriteOutcome } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import type { KeyValueStore } from '../kv-store/client.js';
import type { Condition, TransactionResult, Write } from '../kv-store/model.js';
import { claimKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';

/** Executes a transaction of a duty; the claim of the permit is always among its conditions. */
export const fencedTransaction = (
  store: KeyValueStore,
  permit: Pick<Permit, 'claim' | 'token'>,
  conditions: readonly Condition[],
  writes: readonly Write[],
  priority: RequestPriority,
): Effect.Effect<TransactionResult> =>
  store.compareAndSwap(
    [{ key: claimKey(permit.claim), version: permit.token }, ...conditions],
    writes,
    priority,
  );

const writeOutcomeOf = (result: TransactionResult, claim: string): WriteOutcome => {
  switch (result._tag) {
    case 'committed':
      return { _tag: 'written', revision: result.revision };
    case 'conflict':
      return result.failed.includes(claimKey(claim))
        ? { _tag: 'claimLost' }
        : { _tag: 'changed', keys: result.failed };
    case 'noLease':
      return { _tag: 'claimLost' };
    case 'refused':
      return { _tag: 'notCarriedOut', reason: result.why };
    case 'unknown':
      return { _tag: 'unanswered', reason: result.why };
  }
};

/**
 * Returns access to one key of the key-value store that is written only under a claim. Reads have the
 * priority `user`.
 */
export const fencedValue = (
  store: KeyValueStore,
  key: string,
  claim: string,
  priority: RequestPriority,
): FencedValue => ({
  read: async (): Promise<ReadOutcome> => {
    const result = await Effect.runPromise(store.get(key, 'user'));
    switch (result._tag) {
      case 'found':
        return { _tag: 'read', entry: { value: result.entry.value, revision: result.entry.version } };
      case 'absent':
        return { _tag: 'read', entry: { value: null, revision: 0 } };
      case 'failed':
        return { _tag: 'unavailable', reason: result.why };
    }
  },
  write: async (value, revision, token: FencingToken, removals = []): Promise<WriteOutcome> => {
    const conditions = [
      { key, version: revision },
      ...removals.map((removal) => ({ key: removal.key, version: removal.revision })),
    ];
    const writes: Write[] = [
      { _tag: 'put', key, value },
      ...removals.map((removal): Write => ({ _tag: 'delete', key: removal.key })),
    ];
    const result = await Effect.runPromise(
      fencedTransaction(store, { claim, token }, conditions, writes, priority),
    );
    return writeOutcomeOf(result, claim);
  },
});
