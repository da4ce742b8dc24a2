import * as Effect from 'effect/Effect';
import { Batcher } from '../concurrency/batcher.js';
import {
  LINEARIZABLE_READ_ATTEMPTS,
  LINEARIZABLE_READ_BATCH_DELAY_MS,
  LINEARIZABLE_READ_BATCH_FACTOR,
} from '../constants/key-value-store.js';
import type { KeyValueStore } from './client.js';

/** Does a key still have the version that this node's copy shows? */
export type Freshness = 'same' | 'changed' | 'failed';

/**
 * Fresh reads for many users at the price of one request: a transaction without writes compares what this
 * node's copy shows with what the state service holds, for all keys asked about in the same moment.
 */
export class LinearizableReads {
  private readonly batcher: Batcher<{ key: string; version: number }, Freshness>;

  constructor(private readonly store: KeyValueStore) {
    // Four times as many conditions as changes are allowed; a conflict costs a second look at the others.
    this.batcher = new Batcher(
      LINEARIZABLE_READ_BATCH_DELAY_MS,
      store.maxTransactionWrites * LINEARIZABLE_READ_BATCH_FACTOR,
      (questions) => this.compare(questions),
    );
  }

  confirm(key: string, version: number): Effect.Effect<Freshness> {
    return Effect.promise(() => this.batcher.ask({ key, version }));
  }

  private async compare(
    questions: readonly { key: string; version: number }[],
  ): Promise<readonly Freshness[]> {
    const known = new Map<string, number>();
    for (const { key, version } of questions) known.set(key, Math.max(version, known.get(key) ?? 0));
    const changed = new Set<string>();
    for (let tries = 0; tries < LINEARIZABLE_READ_ATTEMPTS; tries += 1) {
      const when = [...known]
        .filter(([key]) => !changed.has(key))
        .map(([key, version]) => ({ key, version }));
      const result =
        when.length === 0 ? null : await Effect.runPromise(this.store.compareAndSwap(when, [], 'user'));
      if (result === null || result._tag === 'committed') {
        return questions.map(({ key, version }) =>
          changed.has(key) || known.get(key) !== version ? 'changed' : 'same',
        );
      }
      if (result._tag !== 'conflict' || result.failed.length === 0) break;
      for (const key of result.failed) changed.add(key);
    }
    return questions.map(({ key }) => (changed.has(key) ? 'changed' : 'failed'));
  }
}
