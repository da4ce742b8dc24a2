import * as Schema from 'effect/Schema';
import * as Result from 'effect/Result';
import { MAX_ERROR_TEXT_CHARS, MAX_TASKS_PER_JOB, MAX_TEXT_CHARS } from '../constants/users-api.js';
import { packIds, unpackIds } from '../pipelines/codec.js';
import type { FinalRecord, FinalState, JobKind, JobRecord, JobSpec, Priority } from './model.js';

/** The users' wire words, and the records in the state service. */
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
export type Submitted =
  | { readonly _tag: 'job'; readonly spec: JobSpec; readonly follows: readonly string[] }
  | { readonly _tag: 'malformed'; readonly why: string };

/** Reads and checks a submission. */
export const readSubmission = (value: unknown): Submitted => {
  const result = decodeSubmission(value);
  if (!Result.isSuccess(result)) {
    return {
      _tag: 'malformed',
      why: String(result.failure).replace(/\s+/g, ' ').slice(0, MAX_ERROR_TEXT_CHARS),
    };
  }
  const s = result.success;
  return {
    _tag: 'job',
    follows: [...new Set(s.follows ?? [])],
    spec: {
      id: s.uid,
      jobClass: s.herd,
      team: s.owner,
      kind: KINDS[s.shape] ?? 'array',
      priority: PRIORITIES[s.urgency] ?? 0,
      tasks: s.heads,
      cpus: s.vcpus,
      gpus: s.accelerators,
      memoryGb: s.memoryGb,
      types: s.breeds ?? null,
      zone: s.paddock ?? null,
      oneZone: s.together,
      spread: s.scatter,
      spot: s.agistment,
      image: s.brand,
      imageGb: s.sizeGb,
      estimateS: s.expectedS,
      checkpointS: s.musterEveryS,
      saveS: s.musterS,
      deadlineS: s.dueS ?? null,
    },
  };
};

/** The status of a job as its user sees it. */
export type JobStatus = 'pending' | 'running' | FinalState;

/** The body of an answer about a job's status. */
export const writeStatus = (
  id: string,
  status: JobStatus,
  counts?: { done: number; running: number },
): unknown => ({
  uid: id,
  status: status === 'cancelled' ? 'withdrawn' : status,
  ...(counts ?? {}),
});

/** Records keep the field names of the model; a spec is stored as a list, which is a third the size. */
const SPEC_FIELDS = [
  'id',
  'jobClass',
  'team',
  'kind',
  'priority',
  'tasks',
  'cpus',
  'gpus',
  'memoryGb',
  'types',
  'zone',
  'oneZone',
  'spread',
  'spot',
  'image',
  'imageGb',
  'estimateS',
  'checkpointS',
  'saveS',
  'deadlineS',
] as const satisfies readonly (keyof JobSpec)[];

/** bytes: the size of a value as the state service measures it. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Writes a job record as it is stored. */
export const writeJobRecord = (job: JobRecord): unknown => ({
  s: SPEC_FIELDS.map((field) => job.spec[field]),
  t: job.at,
  c: job.cancelled,
  ...(job.cancelledAt === null ? {} : { x: job.cancelledAt }),
  ...(job.dependsOn.length === 0 ? {} : { f: packIds(job.dependsOn) }),
  ...(job.parts === 0 ? {} : { p: job.parts }),
});

/** Stands in a cancelled job's record for a text that was dropped; texts of submissions are never empty. */
const DROPPED_TEXT = '';

/**
 * The record of a cancelled job within `bytes`. A job that was accepted under larger limits may not fit as it
 * is; only placement reads its class, image, machine types and zone, and a cancelled job is never placed
 * again.
 */
export const writeCancelledRecord = (job: JobRecord, bytes: number): unknown => {
  const whole = writeJobRecord(job);
  if (jsonBytes(whole) <= bytes) return whole;
  return writeJobRecord({
    ...job,
    spec: { ...job.spec, jobClass: DROPPED_TEXT, image: DROPPED_TEXT, types: [], zone: null },
  });
};

/** Reads a stored job record. */
export const readJobRecord = (data: unknown): JobRecord => {
  const raw = data as {
    s: unknown[];
    t: number;
    c: boolean;
    x?: number;
    f?: string[];
    p?: number;
  };
  const spec: Record<string, unknown> = {};
  SPEC_FIELDS.forEach((field, index) => {
    spec[field] = raw.s[index];
  });
  return {
    spec: spec as unknown as JobSpec,
    at: raw.t,
    cancelled: raw.c,
    cancelledAt: raw.x ?? null,
    dependsOn: unpackIds(raw.f ?? []),
    parts: raw.p ?? 0,
  };
};

/** Writes a final record as it is stored. */
export const writeFinalRecord = (final: FinalRecord): unknown => ({
  s: final.state,
  t: final.at,
  n: final.tasks,
});
/** Reads a stored final record. */
export const readFinalRecord = (data: unknown): FinalRecord => {
  const raw = data as { s: FinalState; t: number; n: number };
  return { state: raw.s, at: raw.t, tasks: raw.n };
};

/** The name of a task on the wire. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;
/** Reads a task's name; null: malformed. */
export const parseTaskName = (name: string): { job: string; index: number } | null => {
  const cut = name.lastIndexOf('/');
  const index = Number(name.slice(cut + 1));
  return cut > 0 && Number.isInteger(index) && index >= 0 ? { job: name.slice(0, cut), index } : null;
};
