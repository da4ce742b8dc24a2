/**
 * What the users' API needs of the rest of the controller. Types only; the composition root supplies what
 * they name.
 */
import type * as Effect from 'effect/Effect';
import type { KeyValueStore } from '../kv-store/client.js';
import type { LinearizableReads } from '../kv-store/linearizable-reads.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { FinalRecordCache } from '../pipelines/final-record-cache.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { TeamLimit } from '../placement/team-limits.js';
import type { Catalog, TaskCounts } from './model.js';

/** Reading jobs from the key-value store and from this controller's copy of it. */
export interface JobLookupDependencies {
  readonly store: Pick<KeyValueStore, 'get'>;
  readonly linearizableReads: LinearizableReads;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: FinalRecordCache;
}

/** Telling users of a job's status, and cancelling it. */
export interface JobStatusDependencies {
  readonly store: Pick<KeyValueStore, 'compareAndSwap'>;
  readonly pipelines: Pick<Pipelines, 'readiness' | 'resolve'>;
  /** May users be told of the cancellation that became durable at this revision? */
  readonly mayConfirmCancellation: (id: string, team: string, version: number) => Effect.Effect<boolean>;
  /** Bytes: the largest value that the key-value store takes, now and after an announced change. */
  readonly valueBytes: number;
  /** Age in ms of the last moment at which this controller's copy of the shared keys was surely whole. */
  readonly cacheAgeMs: () => number;
  /** Task counts for display, from the controller that acts for the job's shard; null: not available now. */
  readonly taskCounts: (id: string, team: string) => TaskCounts | null;
  /** Wall clock, in ms since the epoch. */
  readonly wallClock: () => number;
}

/** Accepting new jobs. */
export interface JobSubmissionDependencies {
  readonly store: Pick<KeyValueStore, 'compareAndSwap' | 'maxTransactionWrites'>;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: Pick<FinalRecordCache, 'get'>;
  /** The machine types; null: not read yet. */
  readonly catalog: () => Catalog | null;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** Does every controller understand jobs that depend on others? */
  readonly pipelinesSupported: () => boolean;
  /** Bytes: the largest value that the key-value store takes, now and after an announced change. */
  readonly valueBytes: number;
  /** Wall clock, in ms since the epoch. */
  readonly wallClock: () => number;
}

/** All that the users' API needs. */
export type UsersApiDependencies = JobLookupDependencies & JobStatusDependencies & JobSubmissionDependencies;
