/**
 * Linearizable reads for many users at the cost of one request: a transaction without writes compares the
 * versions in this controller's copy with those in the key-value store, for all keys that are checked within
 * a short delay. Owns the pending checks; called by the modules that respond to users.
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

/** The result of checking whether a key has a version; `failed`: the store did not confirm or deny it. */
type VersionCheck = 'same' | 'changed' | 'failed';

/** The latest version to check, by key. */
const latestVersions = (checks: readonly Condition[]): ReadonlyMap<string, number> => {
  const latest = new Map<string, number>();
  for (const { key, version } of checks) latest.set(key, Math.max(version, latest.get(key) ?? 0));
  return latest;
};

/** Confirms versions of keys. */
export class LinearizableReads {
  private readonly batcher: Batcher<Condition, VersionCheck>;

  constructor(private readonly store: Pick<KeyValueStore, 'compareAndSwap' | 'maxTransactionWrites'>) {
    this.batcher = new Batcher(
      LINEARIZABLE_READ_BATCH_DELAY_MS,
      store.maxTransactionWrites * LINEARIZABLE_READ_BATCH_FACTOR,
      (checks) => this.checkAll(checks),
    );
  }

  /** Checks whether the key still has this version at some moment after the call. */
  confirm(key: string, version: number): Effect.Effect<VersionCheck> {
    return Effect.promise(() => this.batcher.submit({ key, version }));
  }

  /**
   * Checks the versions of all keys. A conflict names keys that have changed and does not confirm the others,
   * which are checked again.
   */
  private async checkAll(checks: readonly Condition[]): Promise<readonly VersionCheck[]> {
    const latest = latestVersions(checks);
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
        return checks.map(({ key, version }) =>
          changed.has(key) || latest.get(key) !== version ? 'changed' : 'same',
        );
      if (result._tag !== 'conflict' || result.failed.length === 0) break;
      for (const key of result.failed) changed.add(key);
    }
    return checks.map(({ key }) => (changed.has(key) ? 'changed' : 'failed'));
  }
}
