/** Preemption of running groups of lower priority. */

/** Time for which a job waits for machines of other shards before groups are preempted for it. */
export const PREEMPTION_DELAY_MS = 2_500;
/** Minimum interval between two searches for groups to preempt, which cost more than any other decision. */
export const PREEMPTION_SEARCH_INTERVAL_MS = 1_000;
/** Maximum number of waiting jobs that one search considers. The next search considers the remaining ones. */
export const MAX_JOBS_PER_PREEMPTION_SEARCH = 32;
/**
 * Number of CPUs that count as much as one GPU in the size of a group, so that CPUs only break ties between
 * equal GPU counts.
 */
export const CPUS_PER_GPU_IN_GROUP_SIZE = 1_000;
