/** What teams use and may use, and how many more tasks a limit allows. No state. */
import { AMOUNT_TOLERANCE } from '../constants/placement.js';
import type { JobSpec } from '../jobs/model.js';

/** CPUs and GPUs that a team uses. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
/** CPUs and GPUs that a team may use at most. */
export interface TeamLimit {
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/**
 * Tasks of this size that the team may still start. A limit of 0 means none: whoever asks for GPUs needs a
 * GPU limit; CPUs are counted where the team has a CPU limit.
 */
export const tasksWithinLimit = (
  spec: Pick<JobSpec, 'cpus' | 'gpus'>,
  limit: TeamLimit,
  usage: TeamUsage,
  most: number,
): number => {
  let count = most;
  if (spec.gpus > 0)
    count = Math.min(count, Math.floor((limit.gpusMax - usage.gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.cpus > 0 && limit.cpusMax > 0) {
    count = Math.min(count, Math.floor((limit.cpusMax - usage.cpus + AMOUNT_TOLERANCE) / spec.cpus));
  }
  return Math.max(0, count);
};
