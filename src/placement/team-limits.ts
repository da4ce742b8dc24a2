/** Usage and limits of teams, and the number of tasks that a limit still allows. No state. */
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
 * Number of tasks of this size that the team may still start, at most `maxTasks`. A GPU limit of 0 allows no
 * tasks with GPUs; a CPU limit of 0 means that the CPUs of the team are not limited.
 */
export const tasksWithinLimit = (
  spec: Pick<JobSpec, 'cpus' | 'gpus'>,
  limit: TeamLimit,
  usage: TeamUsage,
  maxTasks: number,
): number => {
  let count = maxTasks;
  if (spec.gpus > 0)
    count = Math.min(count, Math.floor((limit.gpusMax - usage.gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.cpus > 0 && limit.cpusMax > 0) {
    count = Math.min(count, Math.floor((limit.cpusMax - usage.cpus + AMOUNT_TOLERANCE) / spec.cpus));
  }
  return Math.max(0, count);
};
