/** Pipelines: jobs that depend on others. */

/** Time between the end of one stage and the start of the next. */
export const STAGE_TRANSITION_MS = 6_000;
/** Pause between two reads of final records of dependencies. */
export const FINAL_RECORD_CHECK_INTERVAL_MS = 100;
/** Final records read at once. */
export const MAX_CONCURRENT_FINAL_RECORD_READS = 8;
/** Final records kept in memory; the rest are read from the store. */
export const MAX_CACHED_FINAL_RECORDS = 2_000;
