/** Preemption of groups of lower priority. */

/** How long a job waits for machines of other shards before groups are preempted for it. */
export const PREEMPTION_DELAY_MS = 2_500;
/** Least time between two searches for groups to preempt, the most expensive of the decisions. */
export const PREEMPTION_SEARCH_INTERVAL_MS = 1_000;
/** Waiting jobs that one search looks at; the rest follow in the next. */
export const MAX_JOBS_PER_PREEMPTION_SEARCH = 32;
/** CPUs that count as much as one GPU in the size of a group, so that CPUs only decide between equal GPUs. */
export const CPUS_PER_GPU_IN_GROUP_SIZE = 1_000;
