/**
 * The lease on shards and on the leadership: how long it lasts, and which controller takes or hands over a
 * claim when. Times are in ms.
 */

/** Lifetime of a controller's lease, to which its claims on shards and on the leadership are attached. */
export const CONTROLLER_LEASE_TTL_MS = 5_000;
/** Pause between two renewals of the lease. */
export const CONTROLLER_LEASE_RENEWAL_INTERVAL_MS = 1_200;
/** Drift between two clocks: at most 0.05 % each (protocol), doubled for both ends. */
export const CLOCK_DRIFT_FRACTION = 0.001;
/** Taken off the end of a lease, since timers fire late on a busy core. */
export const LEASE_EXPIRY_MARGIN_MS = 300;
/** Pause between two checks of the claims, and after a lease request that failed. */
export const CLAIM_CHECK_INTERVAL_MS = 300;

/** How long a controller leaves a free shard to its preferred holder. */
export const PREFERRED_HOLDER_GRACE_MS = 1_500;
/** Further delay for each controller before this one by name, so that they do not all write at once. */
export const SHARD_TAKEOVER_RANK_DELAY_MS = 150;
/** Further delay for each shard that this controller holds, so that the one that holds fewest goes first. */
export const TAKEOVER_DELAY_PER_HELD_SHARD_MS = 500;
/** Delay for each controller before this one by name until it takes a free leadership. */
export const LEADER_TAKEOVER_RANK_DELAY_MS = 250;

/** How long a peer must have answered without a gap before a shard is handed back to it. */
export const HANDBACK_STABILITY_MS = 12_000;
/** Report intervals without any report after which a shard goes to a controller that its workers do reach. */
export const UNREACHABLE_WORKERS_REPORT_INTERVALS = 3;
/** How long a controller that lost a shard in that way is handed none back. */
export const UNREACHABLE_WORKERS_HANDBACK_PAUSE_MS = 45_000;
