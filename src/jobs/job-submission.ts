/**
 * Accepts new jobs, or says why not. A repeat of an accepted job is answered with that job's status, whatever
 * its body says. Owns no state; called by the users' API.
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

/** Was each job of a list ever accepted? */
type AcceptanceOfAll =
  | { readonly _tag: 'allAccepted' }
  | { readonly _tag: 'neverAccepted'; readonly id: string }
  | { readonly _tag: 'unavailable' };

const unprocessable = (error: string): ServerResponse => ({ status: 422, body: { error } });

/** Takes submissions. */
export class JobSubmissionHandler {
  constructor(
    private readonly dependencies: JobSubmissionDependencies,
    private readonly lookup: JobLookup,
    private readonly status: JobStatusHandler,
  ) {}

  /** The answer to a submission with this body; 201 once the job is durable. */
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
        const refusal = yield* this.refuseDependencies(spec.id, read.dependsOn);
        if (refusal !== null) return refusal;
      }
      return yield* this.store(spec, read.dependsOn);
    });
  }

  /** The status of a job that was accepted before, else this answer. */
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

  /** Why a job that depends on these is not taken; null: it is. */
  private refuseDependencies(id: string, dependsOn: readonly string[]): Effect.Effect<ServerResponse | null> {
    return Effect.gen({ self: this }, function* () {
      const acceptance: AcceptanceOfAll = this.dependencies.pipelinesSupported()
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

  /** What this controller's copy shows was accepted; only the other jobs are read. */
  private acceptanceOf(ids: readonly string[]): Effect.Effect<AcceptanceOfAll> {
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
