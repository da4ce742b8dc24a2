/** Pipelines: jobs that depend on other jobs. */

/** Time between the end of one stage and the start of the next. */
export const STAGE_TRANSITION_MS = 6_000;
/** Pause between two batches of reads of the final records of dependencies. */
export const FINAL_RECORD_CHECK_INTERVAL_MS = 100;
/** Maximum number of final records that are read at the same time. */
export const MAX_CONCURRENT_FINAL_RECORD_READS = 8;
/** Maximum number of final records kept in memory. Others are read from the key-value store. */
export const MAX_CACHED_FINAL_RECORDS = 2_000;
