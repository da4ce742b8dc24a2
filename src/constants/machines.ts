/** Machines of a shard: liveness, boot, and how long an idle one is held. */

/** Pause between two checks of machines for ended leases, silence and return. */
export const MACHINE_CHECK_INTERVAL_MS = 500;
/** Added to a worker's lease before its tasks count as gone. */
export const WORKER_LEASE_MARGIN_MS = 1_000;
/** Part of a worker's lease within which a machine must have reported to get new tasks. */
export const LIVE_LEASE_FRACTION = 0.5;
/** Worker leases for which a machine may report without taking up the token, before it is unreachable. */
export const UNCONFIRMED_TOKEN_LEASES = 2;
/** Report intervals of silence after which a spot machine counts as taken back by the cloud. */
export const SPOT_SILENCE_REPORT_INTERVALS = 3.3;
/** Such silences that must have passed since the shard was read, before silence counts against a machine. */
export const SHARD_LOAD_GRACE_SPOT_SILENCES = 2;
/** How long a machine under suspicion gets no new tasks. */
export const SUSPECT_MACHINE_PAUSE_MS = 60_000;
/** How long a machine moved here from another shard counts as room before its worker has answered. */
export const TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS = 3_000;

/** Nominal boot times after which a machine that has not reported is given up. */
export const BOOT_TIMEOUT_FACTOR = 2.5;
/** Added to that, for machines with very short boot times. */
export const BOOT_TIMEOUT_SLACK_S = 20;
/** Boot time assumed for a type that the catalog does not list. */
export const UNKNOWN_TYPE_BOOT_S = 60;
/** Nominal boot times within which a machine usually is up; a later one is no longer planned on. */
export const USUAL_BOOT_FACTOR = 1.6;
/** Added to that, for the first report. */
export const USUAL_BOOT_SLACK_S = 5;

/** Least time for which an idle machine is held: reports and moves take some seconds. */
export const MIN_IDLE_HOLD_S = 15;
/** Nominal boot times for which an idle machine is held: about what a new one costs, in time and money. */
export const IDLE_HOLD_BOOT_FACTOR = 1.5;
/** Idle machines of one kind that each shard holds for that long. */
export const LONG_IDLE_HOLD_MACHINES = 2;
/** Nominal boot times for which the others are held. */
export const SURPLUS_IDLE_HOLD_BOOT_FACTOR = 0.5;
/** Multiple of a class's loosest start target above which a boot can't serve that class at all. */
export const BOOT_BOUND_TARGET_FACTOR = 4;
/** Nominal boot times for which an idle on-demand machine is held where a boot can't serve some class. */
export const BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR = 10;
