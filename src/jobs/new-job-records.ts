/** The records that a new job takes in the key-value store. Owns no state; called for each submission. */
import { DEPENDENCY_LIST_OVERHEAD_BYTES, VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { dependencyListKey, jobKey } from '../kv-store/keys.js';
import type { Write } from '../kv-store/model.js';
import { packIds, splitIds } from '../pipelines/codec.js';
import { jsonBytes, writeJobRecord } from './job-record-codec.js';
import type { JobSpec } from './model.js';

/** Bounds of the key-value store. */
export interface RecordBounds {
  /** Bytes of a value. */
  readonly valueBytes: number;
  readonly maxTransactionWrites: number;
}

const put = (key: string, value: unknown): Write => ({ _tag: 'put', key, value });

/**
 * The record of a new job and, where its dependencies would outgrow it, their lists; null when all that does
 * not fit in one transaction. `at` is ms since the epoch.
 */
export const newJobRecords = (
  spec: JobSpec,
  dependsOn: readonly string[],
  at: number,
  { valueBytes, maxTransactionWrites }: RecordBounds,
): readonly Write[] | null => {
  const job = { spec, at, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };
  const room = valueBytes * VALUE_FILL_FRACTION;
  const whole = writeJobRecord({ ...job, dependsOn });
  if (jsonBytes(whole) <= room) return [put(jobKey(spec.id), whole)];
  const lists = splitIds(dependsOn, room - DEPENDENCY_LIST_OVERHEAD_BYTES).map((ids, part) =>
    put(dependencyListKey(spec.id, part), packIds(ids)),
  );
  const record = writeJobRecord({ ...job, parts: lists.length });
  if (jsonBytes(record) > valueBytes || lists.length + 1 > maxTransactionWrites) return null;
  return [...lists, put(jobKey(spec.id), record)];
};
