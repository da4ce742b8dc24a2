/**
 * Whether other shards have free machines for a job. No state; shards ask before they preempt for the job.
 */
import type { ShardSummary } from '../fleet/shard-summary.js';
import { fitsIn, placeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';

/** What the answer depends on. */
export interface SpareCapacitySources {
  readonly summaries: () => readonly ShardSummary[];
  readonly catalog: () => Catalog | null;
}

/** Has a shard other than this one a spare machine that one task of the job fits on? */
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
