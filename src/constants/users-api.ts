/** The users' API: bounds on submissions and calls. */

/** Tasks of one job (protocol). */
export const MAX_TASKS_PER_JOB = 100_000;
/** Length of a text field in a submission, so that a job's record stays small. */
export const MAX_TEXT_CHARS = 256;
/** Length of the text that tells why a submission is malformed. */
export const MAX_ERROR_TEXT_CHARS = 300;
/** Length up to which an unknown job's id is repeated in an error. */
export const MAX_ECHOED_ID_CHARS = 64;
/** Value of `Retry-After` when the controller can't answer now. */
export const RETRY_AFTER_S = 1;
/** Timeout of a user's call here; users give up after 5 s, and poll every 2 s. */
export const USER_REQUEST_TIMEOUT_MS = 1_800;
/** Attempts to record a cancellation while the job's record changes. */
export const CANCELLATION_ATTEMPTS = 4;
