/** Restart of parts of the service that fail by a defect. */

/** Pause before the restart, so that a part that fails at once does not use up the processor. */
export const SUPERVISED_RESTART_DELAY_MS = 500;
