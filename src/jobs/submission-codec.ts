/**
 * The users' words for jobs on the wire: reads submissions, writes answers about a job's status. Owns no
 * state; called by the users' API.
 */
import * as Schema from 'effect/Schema';
import * as Result from 'effect/Result';
import { MAX_ERROR_TEXT_CHARS, MAX_TASKS_PER_JOB, MAX_TEXT_CHARS } from '../constants/users-api.js';
import type { JobKind, JobSpec, JobStatus, Priority, TaskCounts } from './model.js';

const Amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));
const Text = Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(MAX_TEXT_CHARS));
const nullable = <S extends Schema.Top>(schema: S) => Schema.optional(Schema.NullOr(schema));

const ID = /^job-\d{1,18}$/;
/** Does the text have the form of a job id? */
export const isJobId = (text: string): boolean => ID.test(text);

const Submission = Schema.Struct({
  uid: Schema.String.check(Schema.isPattern(ID)),
  herd: Text,
  owner: Text,
  shape: Schema.Literals(['sweep', 'group', 'service']),
  urgency: Schema.Literals(['prod', 'urgent', 'standard', 'best_effort']),
  heads: Schema.Int.check(Schema.isGreaterThanOrEqualTo(1), Schema.isLessThanOrEqualTo(MAX_TASKS_PER_JOB)),
  vcpus: Amount,
  accelerators: Amount,
  memoryGb: Amount,
  brand: Text,
  sizeGb: Amount,
  breeds: nullable(Schema.Array(Text)),
  paddock: nullable(Text),
  together: Schema.Boolean,
  scatter: Schema.Boolean,
  agistment: Schema.Boolean,
  expectedS: Amount,
  musterEveryS: Amount,
  musterS: Amount,
  dueS: nullable(Amount),
  follows: nullable(Schema.Array(Schema.String.check(Schema.isPattern(ID)))),
});

const decodeSubmission = Schema.decodeUnknownResult(Submission);

const KINDS: Record<string, JobKind> = { sweep: 'array', group: 'gang', service: 'service' };
const PRIORITIES: Record<string, Priority> = { prod: 3, urgent: 2, standard: 1, best_effort: 0 };

/** A submission after reading. */
export type SubmissionReadResult =
  | { readonly _tag: 'job'; readonly spec: JobSpec; readonly dependsOn: readonly string[] }
  | { readonly _tag: 'malformed'; readonly reason: string };

/** Reads and checks a submission. */
export const readSubmission = (value: unknown): SubmissionReadResult => {
  const result = decodeSubmission(value);
  if (!Result.isSuccess(result)) {
    return {
      _tag: 'malformed',
      reason: String(result.failure).replace(/\s+/g, ' ').slice(0, MAX_ERROR_TEXT_CHARS),
    };
  }
  const submission = result.success;
  return {
    _tag: 'job',
    dependsOn: [...new Set(submission.follows ?? [])],
    spec: {
      id: submission.uid,
      jobClass: submission.herd,
      team: submission.owner,
      kind: KINDS[submission.shape] ?? 'array',
      priority: PRIORITIES[submission.urgency] ?? 0,
      tasks: submission.heads,
      cpus: submission.vcpus,
      gpus: submission.accelerators,
      memoryGb: submission.memoryGb,
      types: submission.breeds ?? null,
      zone: submission.paddock ?? null,
      oneZone: submission.together,
      spread: submission.scatter,
      spot: submission.agistment,
      image: submission.brand,
      imageGb: submission.sizeGb,
      estimateS: submission.expectedS,
      checkpointS: submission.musterEveryS,
      saveS: submission.musterS,
      deadlineS: submission.dueS ?? null,
    },
  };
};

/** The body of an answer about a job's status. */
export const writeStatus = (id: string, status: JobStatus, counts?: TaskCounts): unknown => ({
  uid: id,
  status: status === 'cancelled' ? 'withdrawn' : status,
  ...(counts ?? {}),
});
