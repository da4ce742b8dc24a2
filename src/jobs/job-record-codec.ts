/**
 * Encodes and decodes job records and final records of the key-value store. Owns no state; called by every
 * module that reads or writes these records.
 */
import { packIds, unpackIds } from '../pipelines/codec.js';
import type { FinalRecord, FinalState, JobRecord, JobSpec } from './model.js';

/**
 * The order of a spec's fields in its stored form, which is a list without field names: it has a third of the
 * size of an object with field names.
 */
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

/** The size of a value in bytes, as the key-value store measures it: the length of its JSON form. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Encodes a job record in its stored form. */
export const writeJobRecord = (job: JobRecord): unknown => ({
  s: SPEC_FIELDS.map((field) => job.spec[field]),
  t: job.at,
  c: job.cancelled,
  ...(job.cancelledAt === null ? {} : { x: job.cancelledAt }),
  ...(job.dependsOn.length === 0 ? {} : { f: packIds(job.dependsOn) }),
  ...(job.parts === 0 ? {} : { p: job.parts }),
});

/**
 * Replaces a text that was removed from a cancelled job's record. Texts of submissions are never empty, so
 * this value can't be mistaken for one.
 */
const REMOVED_TEXT = '';

/**
 * Encodes the record of a cancelled job. The full record of a job that was accepted under larger limits may
 * exceed `maxBytes` bytes; then its class, image, machine types and zone are removed, and the size is not
 * checked again. Only placement reads these fields, and a cancelled job is never placed again.
 */
export const writeCancelledRecord = (job: JobRecord, maxBytes: number): unknown => {
  const fullRecord = writeJobRecord(job);
  if (jsonBytes(fullRecord) <= maxBytes) return fullRecord;
  return writeJobRecord({
    ...job,
    spec: { ...job.spec, jobClass: REMOVED_TEXT, image: REMOVED_TEXT, types: [], zone: null },
  });
};

/** Decodes a stored job record. */
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

/** Encodes a final record in its stored form. */
export const writeFinalRecord = (final: FinalRecord): unknown => ({
  s: final.state,
  t: final.at,
  n: final.tasks,
});

/** Decodes a stored final record. */
export const readFinalRecord = (data: unknown): FinalRecord => {
  const raw = data as { s: FinalState; t: number; n: number };
  return { state: raw.s, at: raw.t, tasks: raw.n };
};
