/**
 * The lease of a controller and its claims on shards and on the leadership: how long a lease lasts, and when
 * a controller takes or hands over a claim. Times are in ms.
 */

/**
 * Lifetime of a controller's lease. The controller's claims on shards and on the leadership are attached to
 * it.
 */
export const CONTROLLER_LEASE_TTL_MS = 5_000;
/** Interval between two renewals of the lease. */
export const CONTROLLER_LEASE_RENEWAL_INTERVAL_MS = 1_200;
/**
 * Maximum drift between two clocks: at most 0.05 % each (protocol), doubled because both clocks may drift.
 */
export const CLOCK_DRIFT_FRACTION = 0.001;
/** Safety margin subtracted from the end of a lease, since timers fire late on a busy core. */
export const LEASE_EXPIRY_MARGIN_MS = 300;
/** Interval between two checks of the claims, and delay before a failed lease request is repeated. */
export const CLAIM_CHECK_INTERVAL_MS = 300;

/** Time for which a controller leaves a free shard to the shard's preferred holder. */
export const PREFERRED_HOLDER_GRACE_MS = 1_500;
/**
 * Additional delay for each controller that precedes this one by name, so that they do not all write at the
 * same time.
 */
export const SHARD_TAKEOVER_RANK_DELAY_MS = 150;
/**
 * Additional delay for each shard that this controller holds, so that the controller with the fewest shards
 * takes the free one.
 */
export const TAKEOVER_DELAY_PER_HELD_SHARD_MS = 500;
/** Delay for each controller that precedes this one by name before this one takes a free leadership. */
export const LEADER_TAKEOVER_RANK_DELAY_MS = 250;

/** Time for which a peer must have sent heartbeats without a gap before a shard is handed back to it. */
export const HANDBACK_STABILITY_MS = 12_000;
/**
 * Number of report intervals without any worker heartbeat after which a shard is handed to a controller that
 * its workers can reach.
 */
export const UNREACHABLE_WORKERS_REPORT_INTERVALS = 3;
/**
 * Time for which no shard is handed back to a controller that lost a shard because its workers could not
 * reach the controller.
 */
export const UNREACHABLE_WORKERS_HANDBACK_PAUSE_MS = 45_000;
