/**
 * Accepts new jobs, or rejects them with a reason. The response to a repeated submission of an accepted job
 * is that job's status, whatever the body of the repetition. Owns no state; the users' API calls it.
 */
import * as Effect from 'effect/Effect';
import { MAX_CONCURRENT_FINAL_RECORD_READS } from '../constants/pipelines.js';
import type { ServerResponse } from '../http/model.js';
import { finalKey, jobKey } from '../kv-store/keys.js';
import { rejectionReason, withKnownTypes } from './eligibility.js';
import { readSubmission, writeStatus } from './submission-codec.js';
import type { JobLookup } from './job-lookup.js';
import type { JobStatusHandler } from './job-status.js';
import type { JobSpec } from './model.js';
import { newJobRecords } from './new-job-records.js';
import type { JobSubmissionDependencies } from './ports.js';
import { RETRY_LATER } from './responses.js';

/**
 * Whether all jobs in a list of dependencies have been accepted. `neverAccepted` names the first job that has
 * not; `unavailable`: the lookup of a job failed.
 */
type DependencyAcceptance =
  | { readonly _tag: 'allAccepted' }
  | { readonly _tag: 'neverAccepted'; readonly id: string }
  | { readonly _tag: 'unavailable' };

const unprocessable = (error: string): ServerResponse => ({ status: 422, body: { error } });

/** Handles submissions. */
export class JobSubmissionHandler {
  constructor(
    private readonly dependencies: JobSubmissionDependencies,
    private readonly lookup: JobLookup,
    private readonly status: JobStatusHandler,
  ) {}

  /** Returns the response to a submission with this body; 201 once the job is durable. */
  submit(body: unknown): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const read = readSubmission(body);
      if (read._tag === 'malformed') return { status: 400, body: { error: read.reason } };
      const catalog = this.dependencies.catalog();
      if (!catalog) return yield* this.answerUnlessAccepted(read.spec.id, RETRY_LATER);
      const spec = withKnownTypes(read.spec, catalog);
      const reason = rejectionReason(spec, catalog, this.dependencies.limits);
      if (reason !== null) return yield* this.answerUnlessAccepted(spec.id, unprocessable(reason));
      if (read.dependsOn.length > 0) {
        const refusal = yield* this.dependencyRefusal(spec.id, read.dependsOn);
        if (refusal !== null) return refusal;
      }
      return yield* this.store(spec, read.dependsOn);
    });
  }

  /**
   * Returns the status response if the job has been accepted before, `RETRY_LATER` if its lookup fails, else
   * `answer`.
   */
  private answerUnlessAccepted(id: string, answer: ServerResponse): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const found = yield* this.lookup.find(id);
      switch (found._tag) {
        case 'active':
        case 'final':
          return yield* this.status.describe(id, found);
        case 'unavailable':
          return RETRY_LATER;
        case 'neverAccepted':
          return answer;
      }
    });
  }

  /** Writes the records of a new job, and returns the response to its submission. */
  private store(spec: JobSpec, dependsOn: readonly string[]): Effect.Effect<ServerResponse> {
    return Effect.gen({ self: this }, function* () {
      const { store, valueBytes, wallClock } = this.dependencies;
      const { maxTransactionWrites } = store;
      const records = newJobRecords(spec, dependsOn, wallClock(), { valueBytes, maxTransactionWrites });
      if (records === null) return unprocessable('too long to be kept');
      const result = yield* store.compareAndSwap(
        [
          { key: jobKey(spec.id), version: 0 },
          { key: finalKey(spec.id), version: 0 },
        ],
        records,
        'user',
      );
      switch (result._tag) {
        case 'committed':
          return { status: 201, body: writeStatus(spec.id, 'pending') };
        case 'conflict':
          return yield* this.status.poll(spec.id);
        case 'noLease':
        case 'refused':
        case 'unknown':
          return RETRY_LATER;
      }
    });
  }

  /** Returns the response that refuses a job because of its dependencies; null if they are acceptable. */
  private dependencyRefusal(id: string, dependsOn: readonly string[]): Effect.Effect<ServerResponse | null> {
    return Effect.gen({ self: this }, function* () {
      const acceptance: DependencyAcceptance = this.dependencies.pipelinesSupported()
        ? yield* this.acceptanceOf(dependsOn)
        : { _tag: 'unavailable' };
      switch (acceptance._tag) {
        case 'unavailable':
          return yield* this.answerUnlessAccepted(id, RETRY_LATER);
        case 'neverAccepted':
          return yield* this.answerUnlessAccepted(id, unprocessable(`never accepted: ${acceptance.id}`));
        case 'allAccepted':
          if (!dependsOn.includes(id)) return null;
          return yield* this.answerUnlessAccepted(id, unprocessable(`never accepted: ${id}`));
      }
    });
  }

  /**
   * Checks whether these jobs have been accepted. Only jobs whose record is missing in this controller's copy
   * are read from the store.
   */
  private acceptanceOf(ids: readonly string[]): Effect.Effect<DependencyAcceptance> {
    return Effect.gen({ self: this }, function* () {
      const { cache, finalRecords } = this.dependencies;
      const others = ids.filter((id) => !cache.get(jobKey(id)) && !finalRecords.get(id));
      const found = yield* Effect.forEach(others, (id) => this.lookup.find(id), {
        concurrency: MAX_CONCURRENT_FINAL_RECORD_READS,
      });
      const neverAccepted = others.find((_, index) => found[index]?._tag === 'neverAccepted');
      if (neverAccepted !== undefined) return { _tag: 'neverAccepted', id: neverAccepted };
      const unavailable = found.some((result) => result._tag === 'unavailable');
      return { _tag: unavailable ? 'unavailable' : 'allAccepted' };
    });
  }
}
