/**
 * Linearizable reads for many users at the price of one request: a transaction without writes compares the
 * versions that this controller's copy shows with those in the store, for all keys asked about in the same
 * moment. Owns the questions that wait; called by whoever answers users.
 */
import * as Effect from 'effect/Effect';
import { Batcher } from '../concurrency/batcher.js';
import {
  LINEARIZABLE_READ_ATTEMPTS,
  LINEARIZABLE_READ_BATCH_DELAY_MS,
  LINEARIZABLE_READ_BATCH_FACTOR,
} from '../constants/key-value-store.js';
import type { KeyValueStore } from './client.js';
import type { Condition } from './model.js';

/** Does a key have the version asked about? `failed`: the store did not say. */
type VersionCheck = 'same' | 'changed' | 'failed';

/** The latest version asked about, by key. */
const latestVersions = (questions: readonly Condition[]): ReadonlyMap<string, number> => {
  const latest = new Map<string, number>();
  for (const { key, version } of questions) latest.set(key, Math.max(version, latest.get(key) ?? 0));
  return latest;
};

/** Confirms versions of keys. */
export class LinearizableReads {
  private readonly batcher: Batcher<Condition, VersionCheck>;

  constructor(private readonly store: Pick<KeyValueStore, 'compareAndSwap' | 'maxTransactionWrites'>) {
    this.batcher = new Batcher(
      LINEARIZABLE_READ_BATCH_DELAY_MS,
      store.maxTransactionWrites * LINEARIZABLE_READ_BATCH_FACTOR,
      (questions) => this.checkAll(questions),
    );
  }

  /** Does the key still have this version, at some moment after the call? */
  confirm(key: string, version: number): Effect.Effect<VersionCheck> {
    return Effect.promise(() => this.batcher.submit({ key, version }));
  }

  /**
   * Each conflict names keys that have changed and says nothing of the others, which are asked about again.
   */
  private async checkAll(questions: readonly Condition[]): Promise<readonly VersionCheck[]> {
    const latest = latestVersions(questions);
    const changed = new Set<string>();
    for (let attempts = 0; attempts < LINEARIZABLE_READ_ATTEMPTS; attempts += 1) {
      const conditions = [...latest]
        .filter(([key]) => !changed.has(key))
        .map(([key, version]) => ({ key, version }));
      const result =
        conditions.length === 0
          ? ({ _tag: 'committed' } as const)
          : await Effect.runPromise(this.store.compareAndSwap(conditions, [], 'user'));
      if (result._tag === 'committed')
        return questions.map(({ key, version }) =>
          changed.has(key) || latest.get(key) !== version ? 'changed' : 'same',
        );
      if (result._tag !== 'conflict' || result.failed.length === 0) break;
      for (const key of result.failed) changed.add(key);
    }
    return questions.map(({ key }) => (changed.has(key) ? 'changed' : 'failed'));
  }
}
