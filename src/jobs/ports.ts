/**
 * Dependencies of the users' API on the other subsystems of the controller. Types only; the composition root
 * supplies the implementations.
 */
import type * as Effect from 'effect/Effect';
import type { KeyValueStore } from '../kv-store/client.js';
import type { LinearizableReads } from '../kv-store/linearizable-reads.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { FinalRecordCache } from '../pipelines/final-record-cache.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { TeamLimit } from '../placement/team-limits.js';
import type { Catalog, TaskCounts } from './model.js';

/** Dependencies of looking up jobs in the key-value store and in this controller's copy of it. */
export interface JobLookupDependencies {
  readonly store: Pick<KeyValueStore, 'get'>;
  readonly linearizableReads: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: FinalRecordCache;
}

/** Dependencies of reporting the status of jobs to users, and of cancelling jobs. */
export interface JobStatusDependencies {
  readonly store: Pick<KeyValueStore, 'compareAndSwap'>;
  readonly pipelines: Pick<Pipelines, 'readiness' | 'resolve'>;
  /** Whether a response may report the cancellation that became durable at this revision (`version`). */
  readonly mayConfirmCancellation: (id: string, team: string, version: number) => Effect.Effect<boolean>;
  /** Largest size of a value that the key-value store accepts now and after an announced change, in bytes. */
  readonly valueBytes: number;
  /**
   * Age in ms of this controller's copy of the shared keys: time since the last moment at which the copy is
   * known to have been complete.
   */
  readonly cacheAgeMs: () => number;
  /** Task counts for display, from the controller that acts for the job's shard; null: unavailable now. */
  readonly taskCounts: (id: string, team: string) => TaskCounts | null;
  /** Wall clock, in ms since the epoch. */
  readonly wallClock: () => number;
}

/** Dependencies of accepting new jobs. */
export interface JobSubmissionDependencies {
  readonly store: Pick<KeyValueStore, 'compareAndSwap' | 'maxTransactionWrites'>;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: Pick<FinalRecordCache, 'get'>;
  /** The machine types of the catalog; null: not read yet. */
  readonly catalog: () => Catalog | null;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** Whether every controller supports jobs that depend on others. */
  readonly pipelinesSupported: () => boolean;
  /** Largest size of a value that the key-value store accepts now and after an announced change, in bytes. */
  readonly valueBytes: number;
  /** Wall clock, in ms since the epoch. */
  readonly wallClock: () => number;
}

/** All dependencies of the users' API. */
export type UsersApiDependencies = JobLookupDependencies & JobStatusDependencies & JobSubmissionDependencies;
