/** Workers: responses to their heartbeats, direct commands, and tasks that are stopped or have exited. */

/**
 * Maximum time for which the response to a heartbeat waits for the placement that the heartbeat made
 * possible.
 */
export const MAX_HEARTBEAT_RESPONSE_DELAY_MS = 400;
/** Timeout of a command sent directly to a worker. */
export const DIRECT_COMMAND_TIMEOUT_MS = 1_500;
/**
 * Number of responses that carry the same `run` command, each followed by a heartbeat without the task, after
 * which the machine counts as unreachable.
 */
export const MAX_RUN_COMMAND_ATTEMPTS = 3;
/** Time added to a task's own saving time when it is stopped. */
export const STOP_GRACE_EXTRA_S = 2;
/** Time beyond its grace period after which a task that is still saving is stopped without further grace. */
export const STOP_GRACE_OVERRUN_MS = 4_000;
/**
 * Number of recorded exits that a worker is told to forget together, since the worker sends a new heartbeat
 * after each command.
 */
export const FORGET_COMMAND_BATCH_SIZE = 12;
/** Maximum time for which a recorded exit waits for others to be forgotten together. */
export const MAX_FORGET_COMMAND_DELAY_MS = 30_000;
