/** Counts of a job's tasks, for users and other controllers. No state; `Shard` calls it. */
import { MAX_JOBS_WITH_TASK_COUNTS } from '../constants/peers.js';
import { isOnMachine } from './attempt-phase.js';
import type { ShardJob } from './shard-model.js';

/**
 * Number of tasks of a job that are done, and number of its tasks that workers report on their machines now.
 */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** The counts of a job, with its id. */
export type NamedTaskCounts = readonly [id: string, done: number, running: number];

/** The counts of one job. */
export const taskCountsOf = (job: ShardJob): TaskCounts => {
  let running = 0;
  for (const binding of job.bindings.values()) if (isOnMachine(binding.phase)) running += 1;
  return { done: job.done.size, running };
};

/** Counts of the jobs with bound or done tasks, in their order, at most `MAX_JOBS_WITH_TASK_COUNTS`. */
export const allTaskCounts = (jobs: Iterable<ShardJob>): readonly NamedTaskCounts[] => {
  const list: NamedTaskCounts[] = [];
  for (const job of jobs) {
    if (list.length >= MAX_JOBS_WITH_TASK_COUNTS) break;
    if (job.bindings.size === 0 && job.done.size === 0) continue;
    const counts = taskCountsOf(job);
    list.push([job.spec.id, counts.done, counts.running]);
  }
  return list;
};
