/**
 * What is surely known of a job now, read from the key-value store or confirmed against it. Owns no state;
 * called by all parts of the users' API.
 */
import * as Effect from 'effect/Effect';
import { jobKey } from '../kv-store/keys.js';
import { readJobRecord } from './job-record-codec.js';
import type { FinalRecord, JobRecord } from './model.js';
import type { JobLookupDependencies } from './ports.js';

/** A job that is not over, and the version of its record. */
export interface ActiveJob {
  readonly _tag: 'active';
  readonly record: JobRecord;
  readonly version: number;
}

/** What is known of a job; `unavailable`: the store did not say. */
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
   * What is surely known of a job now. A final record never changes, so one seen before will do; all else is
   * a linearizable read, most often a confirmation of this controller's copy. A job's record goes to its
   * final record in one transaction, so reading final, active, final misses nothing.
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
