/**
 * Reports the status of a job to users, and cancels jobs. A cancellation is durable before a response reports
 * it. Owns no state; the users' API calls it for polls, cancellations and repeated submissions.
 */
import * as Effect from 'effect/Effect';
import { CACHE_FRESHNESS_MS } from '../constants/key-value-store.js';
import { CANCELLATION_ATTEMPTS } from '../constants/users-api.js';
import type { ServerResponse } from '../http/model.js';
import { jobKey } from '../kv-store/keys.js';
import { writeCancelledRecord } from './job-record-codec.js';
import type { TaskCounts } from './model.js';
import { writeStatus } from './submission-codec.js';
import type { ActiveJob, JobLookup, JobLookupResult } from './job-lookup.js';
import type { JobStatusDependencies } from './ports.js';
import { noSuchJob, RETRY_LATER } from './responses.js';

const unfinishedStatus = (id: string, counts: TaskCounts): ServerResponse => ({
  status: 200,
  body: writeStatus(id, counts.running > 0 ? 'running' : 'pending', counts),
});

/** Handles polls and cancellations. */
export class JobStatusHandler {
  constructor(
    private readonly dependencies: JobStatusDependencies,
    private readonly lookup: JobLookup,
  ) {}

  /** Returns the response to a poll. */
  poll(id: string): Effect.Effect<ServerResponse> {
    return Effect.flatMap(this.lookup.find(id), (found) => this.describe(id, found));
  }

  /** Cancels a job unless it has ended, and returns a response with its status. */
  cancel(id: string): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      for (let attempt = 0; attempt < CANCELLATION_ATTEMPTS; attempt += 1) {
        const found = yield* this.lookup.find(id);
        if (found._tag !== 'active' || found.record.cancelled) return yield* this.describe(id, found);
        const outcome = yield* this.recordCancellation(id, found);
        if (outcome !== 'recordChanged') return outcome;
      }
      return RETRY_LATER;
    });
  }

  /** Returns the status response for a job, from the outcome of its lookup. */
  describe(id: string, found: JobLookupResult): Effect.Effect<ServerResponse> {
    switch (found._tag) {
      case 'unavailable':
        return Effect.succeed(RETRY_LATER);
      case 'neverAccepted':
        return Effect.succeed(noSuchJob(id));
      case 'final': {
        const done = found.final.state === 'done' ? found.final.tasks : 0;
        return Effect.succeed({
          status: 200,
          body: writeStatus(id, found.final.state, { done, running: 0 }),
        });
      }
      case 'active':
        return this.describeActive(id, found);
    }
  }

  /**
   * Returns the status response for a job without a final record. Reports a cancellation only once it is
   * certain that the controller that acts for the job's shard acts on it.
   */
  private describeActive(id: string, job: ActiveJob): Effect.Effect<ServerResponse> {
    const { record, version } = job;
    const counts = this.taskCounts(id, job);
    if (record.cancelled) {
      const cancelled: ServerResponse = { status: 200, body: writeStatus(id, 'cancelled', counts) };
      return Effect.map(
        this.dependencies.mayConfirmCancellation(id, record.spec.team, version),
        (mayConfirm) => (mayConfirm ? cancelled : RETRY_LATER),
      );
    }
    const hasDependencies = record.dependsOn.length + record.parts > 0;
    if (hasDependencies && counts.running === 0) return this.describeDependent(id, job);
    return Effect.succeed(unfinishedStatus(id, counts));
  }

  /**
   * Returns the status response for a job with dependencies that has no running task. If one of its
   * dependencies is cancelled, this job is cancelled too, durably before the response reports it.
   */
  private describeDependent(id: string, job: ActiveJob): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const { pipelines, cacheAgeMs } = this.dependencies;
      if (pipelines.readiness(id)._tag === 'waiting') {
        if (cacheAgeMs() > CACHE_FRESHNESS_MS) return RETRY_LATER;
        if (!(yield* pipelines.resolve(id))) return RETRY_LATER;
      }
      if (pipelines.readiness(id)._tag !== 'dependencyCancelled')
        return unfinishedStatus(id, this.taskCounts(id, job));
      const outcome = yield* this.recordCancellation(id, job);
      return outcome === 'recordChanged' ? RETRY_LATER : outcome;
    });
  }

  /**
   * Writes a cancellation to the job's record and returns the response with the status after it. Returns
   * `recordChanged` if the record has changed since `job` was read: then nothing is written. Returns
   * `RETRY_LATER` if the transaction fails or its outcome is unknown.
   */
  private recordCancellation(id: string, job: ActiveJob): Effect.Effect<ServerResponse | 'recordChanged'> {
    return Effect.gen({ self: this }, function* () {
      const { store, valueBytes, wallClock } = this.dependencies;
      const record = { ...job.record, cancelled: true, cancelledAt: wallClock() };
      const result = yield* store.compareAndSwap(
        [{ key: jobKey(id), version: job.version }],
        [{ _tag: 'put', key: jobKey(id), value: writeCancelledRecord(record, valueBytes) }],
        'user',
      );
      if (result._tag === 'committed')
        return yield* this.describe(id, { _tag: 'active', record, version: result.revision });
      return result._tag === 'conflict' ? 'recordChanged' : RETRY_LATER;
    });
  }

  /** Task counts for display; zero while they are not available. */
  private taskCounts(id: string, { record }: ActiveJob): TaskCounts {
    return this.dependencies.taskCounts(id, record.spec.team) ?? { done: 0, running: 0 };
  }
}
