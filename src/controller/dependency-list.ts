/**
 * Reads the complete list of jobs that a job depends on. No state; the change dispatcher calls it for each
 * job record and for each part of a dependency list.
 */
import type { JobRecord } from '../jobs/model.js';
import { unpackIds } from '../pipelines/codec.js';
import { dependencyListKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';

/**
 * Returns the ids of the jobs that this job depends on; null: the watch cache does not show all parts yet.
 */
export const readDependencyList = (
  cache: Pick<WatchCache, 'get'>,
  record: JobRecord,
): readonly string[] | null => {
  const parts = Array.from({ length: record.parts }, (_, part) =>
    cache.get(dependencyListKey(record.spec.id, part)),
  );
  if (parts.some((part) => part === undefined)) return null;
  return [...record.dependsOn, ...parts.flatMap((part) => unpackIds(part?.value as string[]))];
};
