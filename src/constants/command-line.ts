/** Constants of the command line. */

/** Exit code: the command did what it was asked for. */
export const EXIT_OK = 0;
/** Exit code: a controller did not answer, or answered with an error. */
export const EXIT_FAILED = 1;
/** Exit code: a bad argument or file. */
export const EXIT_USAGE = 2;

/** ms: wait for a controller's answer; it reads one value of the state service for it. */
export const ADMIN_REQUEST_TIMEOUT_MS = 5_000;
