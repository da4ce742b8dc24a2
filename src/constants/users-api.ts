/** The users' API: bounds on submissions and requests. */

/** Maximum number of tasks of one job (protocol). */
export const MAX_TASKS_PER_JOB = 100_000;
/** Maximum length of a text field in a submission, so that a job's record stays small. */
export const MAX_TEXT_CHARS = 256;
/** Maximum length of the text that explains why a submission is malformed. */
export const MAX_ERROR_TEXT_CHARS = 300;
/** Maximum length of an unknown job's id in an error message. */
export const MAX_ECHOED_ID_CHARS = 64;
/** Value of the `Retry-After` header while the controller cannot answer. */
export const RETRY_AFTER_S = 1;
/** Timeout of a user's request in the controller. Users give up after 5 s and poll every 2 s. */
export const USER_REQUEST_TIMEOUT_MS = 1_800;
/** Number of attempts to record a cancellation while the job's record changes. */
export const CANCELLATION_ATTEMPTS = 4;
