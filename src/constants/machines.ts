/** Machines of a shard: liveness, boot, and how long an idle machine is held before it is released. */

/** Interval between two checks of the machines for expired leases, missing heartbeats and release. */
export const MACHINE_CHECK_INTERVAL_MS = 500;
/** Time added to a worker's lease before the holder treats its tasks as ended. */
export const WORKER_LEASE_MARGIN_MS = 1_000;
/** Fraction of a worker's lease within which a machine must have sent a heartbeat to be given new tasks. */
export const LIVE_LEASE_FRACTION = 0.5;
/**
 * Number of worker leases for which a machine may send heartbeats without confirming the token before it
 * counts as unreachable.
 */
export const UNCONFIRMED_TOKEN_LEASES = 2;
/**
 * Number of report intervals without a heartbeat after which a spot machine counts as reclaimed by the cloud.
 */
export const SPOT_SILENCE_REPORT_INTERVALS = 3.3;
/**
 * Minimum time between the loading of a shard and the release of a silent spot machine, as a multiple of the
 * time after which such a machine counts as reclaimed.
 */
export const SHARD_LOAD_GRACE_SPOT_SILENCES = 2;
/** Time for which a machine that is suspected to be faulty is given no new tasks. */
export const SUSPECT_MACHINE_PAUSE_MS = 60_000;
/**
 * Time for which a machine transferred from another shard counts as expected capacity before its worker's
 * first heartbeat.
 */
export const TRANSFERRED_MACHINE_CONTACT_TIMEOUT_MS = 3_000;

/** Boot timeout as a multiple of the nominal boot time. A machine without a heartbeat by then is given up. */
export const BOOT_TIMEOUT_FACTOR = 2.5;
/** Time added to the boot timeout, for machines with very short boot times. */
export const BOOT_TIMEOUT_SLACK_S = 20;
/** Boot time assumed for a machine type that the catalog does not list. */
export const UNKNOWN_TYPE_BOOT_S = 60;
/**
 * Usual boot time as a multiple of the nominal boot time. A machine that takes longer no longer counts as
 * expected capacity.
 */
export const USUAL_BOOT_FACTOR = 1.6;
/** Time added to the usual boot time, for the first heartbeat. */
export const USUAL_BOOT_SLACK_S = 5;

/**
 * Minimum time for which an idle machine is held before it is released. Heartbeats and transfers take some
 * seconds.
 */
export const MIN_IDLE_HOLD_S = 15;
/**
 * Time for which an idle machine is held, as a multiple of the nominal boot time: about what a new machine
 * costs, in time and money.
 */
export const IDLE_HOLD_BOOT_FACTOR = 1.5;
/** Number of idle machines of one kind that each shard holds for `IDLE_HOLD_BOOT_FACTOR` boot times. */
export const LONG_IDLE_HOLD_MACHINES = 2;
/** Time for which the other idle machines of the kind are held, as a multiple of the nominal boot time. */
export const SURPLUS_IDLE_HOLD_BOOT_FACTOR = 0.5;
/**
 * Multiple of a class's loosest start target. A machine type that takes longer to boot cannot serve the class
 * unless a machine has already booted.
 */
export const BOOT_BOUND_TARGET_FACTOR = 4;
/**
 * Time for which an idle on-demand machine of such a type is held, as a multiple of the nominal boot time.
 */
export const BOOT_BOUND_IDLE_HOLD_BOOT_FACTOR = 10;
