/** Restarts of subsystems that failed because of a defect. */

/** Delay before a restart, so that a subsystem that fails immediately does not use up the processor. */
export const SUPERVISED_RESTART_DELAY_MS = 500;
