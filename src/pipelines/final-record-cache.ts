import * as Effect from 'effect/Effect';
import { MAX_CACHED_FINAL_RECORDS } from '../constants/pipelines.js';
import { readFinalRecord } from '../jobs/codec.js';
import type { FinalRecord } from '../jobs/model.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { finalKey } from '../kv-store/keys.js';

/** The outcome of reading a final record. */
export type FinalRead =
  | { readonly _tag: 'found'; readonly final: FinalRecord }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'failed' };

/** Final records, which never change: one seen before will do, for whoever asks. */
export class FinalRecordCache {
  private readonly known = new Map<string, FinalRecord>();
  constructor(private readonly store: KeyValueStore) {}

  get(id: string): FinalRecord | undefined {
    return this.known.get(id);
  }

  remember(id: string, final: FinalRecord): void {
    this.known.set(id, final);
    if (this.known.size <= MAX_CACHED_FINAL_RECORDS) return;
    const oldest = this.known.keys().next().value;
    if (oldest !== undefined) this.known.delete(oldest);
  }

  read(id: string): Effect.Effect<FinalRead> {
    return Effect.gen({ self: this }, function* () {
      const known = this.known.get(id);
      if (known) return { _tag: 'found', final: known } as const;
      const read = yield* this.store.get(finalKey(id), 'user');
      if (read._tag === 'failed') return { _tag: 'failed' } as const;
      if (read._tag === 'absent') return { _tag: 'absent' } as const;
      const final = readFinalRecord(read.entry.value);
      this.remember(id, final);
      return { _tag: 'found', final } as const;
    });
  }
}
