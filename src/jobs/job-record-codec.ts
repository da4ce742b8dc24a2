/**
 * Job records and final records as they stand in the key-value store. Owns no state; called by whatever reads
 * or writes these records.
 */
import { packIds, unpackIds } from '../pipelines/codec.js';
import type { FinalRecord, FinalState, JobRecord, JobSpec } from './model.js';

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

/** bytes: the size of a value as the key-value store measures it. */
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
