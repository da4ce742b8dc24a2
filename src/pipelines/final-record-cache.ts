/**
 * Final records of jobs, kept in memory within a bound and read from the key-value store otherwise. They
 * never change, so one seen before will do, for whoever asks: the users' API, the pipelines, the placement.
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

/** State: the final records seen last. */
export class FinalRecordCache {
  private readonly records = new Map<string, FinalRecord>();

  constructor(private readonly store: KeyValueStore) {}

  /** The record if it was seen lately; undefined says nothing about whether there is one. */
  get(id: string): FinalRecord | undefined {
    return this.records.get(id);
  }

  put(id: string, final: FinalRecord): void {
    this.records.set(id, final);
    if (this.records.size <= MAX_CACHED_FINAL_RECORDS) return;
    const oldest = this.records.keys().next().value;
    if (oldest !== undefined) this.records.delete(oldest);
  }

  /** Reads a record, from the store if need be. */
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
