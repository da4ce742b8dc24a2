/**
 * Caches final records of jobs in memory, up to a bound, and reads the others from the key-value store. A
 * final record never changes, so a cached one is always valid. The users' API and the pipelines use it.
 */
import * as Effect from 'effect/Effect';
import { MAX_CACHED_FINAL_RECORDS } from '../constants/pipelines.js';
import { readFinalRecord } from '../jobs/job-record-codec.js';
import type { FinalRecord } from '../jobs/model.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { finalKey } from '../kv-store/keys.js';

/** The outcome of reading a final record. */
export type FinalRecordRead =
  | { readonly _tag: 'found'; readonly final: FinalRecord }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'failed' };

/** State: the final records added last; the oldest is dropped first. */
export class FinalRecordCache {
  private readonly records = new Map<string, FinalRecord>();

  constructor(private readonly store: KeyValueStore) {}

  /** The record, if it is cached; undefined does not mean that the job has no final record. */
  get(id: string): FinalRecord | undefined {
    return this.records.get(id);
  }

  put(id: string, final: FinalRecord): void {
    this.records.set(id, final);
    if (this.records.size <= MAX_CACHED_FINAL_RECORDS) return;
    const oldest = this.records.keys().next().value;
    if (oldest !== undefined) this.records.delete(oldest);
  }

  /** Reads a record from the cache, or else from the key-value store. */
  read(id: string): Effect.Effect<FinalRecordRead> {
    return Effect.gen({ self: this }, function* () {
      const known = this.records.get(id);
      if (known) return { _tag: 'found', final: known } as const;
      const read = yield* this.store.get(finalKey(id), 'user');
      if (read._tag === 'failed') return { _tag: 'failed' } as const;
      if (read._tag === 'absent') return { _tag: 'absent' } as const;
      const final = readFinalRecord(read.entry.value);
      this.put(id, final);
      return { _tag: 'found', final } as const;
    });
  }
}
