/** Builds the records of a new job for the key-value store. Owns no state; called for each submission. */
import { DEPENDENCY_LIST_OVERHEAD_BYTES, VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { dependencyListKey, jobKey } from '../kv-store/keys.js';
import type { Write } from '../kv-store/model.js';
import { packIds, splitIds } from '../pipelines/codec.js';
import { jsonBytes, writeJobRecord } from './job-record-codec.js';
import type { JobSpec } from './model.js';

/** Limits of the key-value store. */
export interface RecordBounds {
  /** Largest size of a value, in bytes. */
  readonly valueBytes: number;
  /** Largest number of writes in a transaction. */
  readonly maxTransactionWrites: number;
}

const put = (key: string, value: unknown): Write => ({ _tag: 'put', key, value });

/**
 * Returns the writes of a new job: its record and, if the record would be too large with its list of
 * dependencies, the parts of that list under keys of their own. Null if the record is too large even without
 * the list, or if there are more writes than a transaction may have.
 * `at` is the time of acceptance in ms since the epoch.
 */
export const newJobRecords = (
  spec: JobSpec,
  dependsOn: readonly string[],
  at: number,
  { valueBytes, maxTransactionWrites }: RecordBounds,
): readonly Write[] | null => {
  const job = { spec, at, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };
  const usableBytes = valueBytes * VALUE_FILL_FRACTION;
  const fullRecord = writeJobRecord({ ...job, dependsOn });
  if (jsonBytes(fullRecord) <= usableBytes) return [put(jobKey(spec.id), fullRecord)];
  const lists = splitIds(dependsOn, usableBytes - DEPENDENCY_LIST_OVERHEAD_BYTES).map((ids, part) =>
    put(dependencyListKey(spec.id, part), packIds(ids)),
  );
  const record = writeJobRecord({ ...job, parts: lists.length });
  if (jsonBytes(record) > valueBytes || lists.length + 1 > maxTransactionWrites) return null;
  return [...lists, put(jobKey(spec.id), record)];
};
