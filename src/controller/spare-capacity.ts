/**
 * Determines whether other shards have free machines for a job. No state; a shard calls it before it preempts
 * tasks for the job.
 */
import type { ShardSummary } from '../fleet/shard-summary.js';
import { fitsIn, placeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';

/** The sources of the information on which the result depends. */
export interface SpareCapacitySources {
  readonly summaries: () => readonly ShardSummary[];
  readonly catalog: () => Catalog | null;
}

/** Whether a shard other than this one has a spare machine on which one task of the job fits. */
export const hasSpareElsewhere = (sources: SpareCapacitySources, shardId: number, spec: JobSpec): boolean => {
  const catalog = sources.catalog();
  return sources
    .summaries()
    .filter((summary) => summary.shardId !== shardId)
    .some((summary) =>
      summary.spares.some((spare) => {
        const type = catalog?.get(spare.type);
        return type !== undefined && placeAllowed(spec, spare) && fitsIn(spec, type);
      }),
    );
};
