/** Workers: answers to their reports, direct commands, and tasks that are stopped or over. */

/** How long the answer to a report may wait for the placement that the report made possible. */
export const MAX_HEARTBEAT_RESPONSE_DELAY_MS = 400;
/** Timeout of a command sent directly to a worker. */
export const DIRECT_COMMAND_TIMEOUT_MS = 1_500;
/**
 * Answers with the same `run`, each followed by a report without the task, before its machine is unreachable.
 */
export const MAX_RUN_COMMAND_ATTEMPTS = 3;
/** Grace beyond a task's own saving time when it is stopped. */
export const STOP_GRACE_EXTRA_S = 2;
/** Time past its grace after which a task that saves is ended without. */
export const STOP_GRACE_OVERRUN_MS = 4_000;
/** Recorded exits that a worker is told to forget together, since it reports anew after each time. */
export const FORGET_COMMAND_BATCH_SIZE = 12;
/** Longest time for which a recorded exit waits for others to be forgotten with it. */
export const MAX_FORGET_COMMAND_DELAY_MS = 30_000;
