/**
 * Linearizable lookup of a job: reads it from the key-value store, or confirms this controller's copy of its
 * record against the store. Owns no state; all handlers of the users' API call it.
 */
import * as Effect from 'effect/Effect';
import { jobKey } from '../kv-store/keys.js';
import { readJobRecord } from './job-record-codec.js';
import type { FinalRecord, JobRecord } from './model.js';
import type { JobLookupDependencies } from './ports.js';

/** A job without a final record, with the version of its job record. */
export interface ActiveJob {
  readonly _tag: 'active';
  readonly record: JobRecord;
  readonly version: number;
}

/** The outcome of looking up a job; `unavailable`: a read of the key-value store failed. */
export type JobLookupResult =
  | ActiveJob
  | { readonly _tag: 'final'; readonly final: FinalRecord }
  | { readonly _tag: 'neverAccepted' }
  | { readonly _tag: 'unavailable' };

const active = (value: unknown, version: number): ActiveJob => ({
  _tag: 'active',
  record: readJobRecord(value),
  version,
});

/** Finds jobs by id. */
export class JobLookup {
  constructor(private readonly dependencies: JobLookupDependencies) {}

  /**
   * Finds the current state of a job. A final record never changes, so a cached one is returned without a
   * request. Any other result comes from linearizable reads; most often one confirms the version of this
   * controller's copy. One transaction replaces a job's record by its final record, so reading the final
   * record, the job record and the final record again finds every accepted job.
   */
  find(id: string): Effect.Effect<JobLookupResult> {
    return Effect.gen({ self: this }, function* () {
      const { cache, finalRecords, linearizableReads, store } = this.dependencies;
      const cachedFinal = finalRecords.get(id);
      if (cachedFinal) return { _tag: 'final', final: cachedFinal } as const;
      const cachedJob = cache.get(jobKey(id));
      if (cachedJob) {
        const confirmation = yield* linearizableReads.confirm(cachedJob.key, cachedJob.version);
        if (confirmation === 'failed') return { _tag: 'unavailable' } as const;
        if (confirmation === 'same') return active(cachedJob.value, cachedJob.version);
      }
      const final = yield* this.readFinal(id);
      if (final._tag !== 'neverAccepted') return final;
      const stored = yield* store.get(jobKey(id), 'user');
      if (stored._tag === 'failed') return { _tag: 'unavailable' } as const;
      if (stored._tag === 'absent') return yield* this.readFinal(id);
      return active(stored.entry.value, stored.entry.version);
    });
  }

  private readFinal(id: string): Effect.Effect<JobLookupResult> {
    return Effect.map(this.dependencies.finalRecords.read(id), (read): JobLookupResult => {
      switch (read._tag) {
        case 'failed':
          return { _tag: 'unavailable' };
        case 'absent':
          return { _tag: 'neverAccepted' };
        case 'found':
          return { _tag: 'final', final: read.final };
      }
    });
  }
}
