/** Constants of the command line. */

/** Exit code: the command succeeded. */
export const EXIT_OK = 0;
/** Exit code: the controller did not answer, or answered with an error. */
export const EXIT_FAILED = 1;
/** Exit code: an argument or a configuration file is invalid. */
export const EXIT_USAGE = 2;

/** Timeout of a request to a controller, which reads one value from the key-value store to answer. */
export const ADMIN_REQUEST_TIMEOUT_MS = 5_000;
