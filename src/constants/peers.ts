/**
 * Communication between controllers: heartbeats, shard summaries, and their relay through the key-value
 * store.
 */

/** Interval between two heartbeats to one peer. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/**
 * Number of heartbeat intervals without an exchange after which the second of two controllers, by name,
 * initiates one in place of the first.
 */
export const HEARTBEAT_RESPONDER_FACTOR = 1.25;
/**
 * Fraction of the time without an exchange that a controller allows before it initiates one. The exchange is
 * due after this fraction, since timers may fire a little early.
 */
export const HEARTBEAT_DUE_FRACTION = 0.9;
/** Minimum interval between two heartbeats to the leader when a change makes the next one early. */
export const HEARTBEAT_NOTIFICATION_INTERVAL_MS = 400;
/** Minimum pause of the heartbeat loop. */
export const MIN_HEARTBEAT_PAUSE_MS = HEARTBEAT_NOTIFICATION_INTERVAL_MS / 4;
/**
 * Maximum age of a heartbeat that a controller uses. The key-value store counts as reachable if its last
 * answer is at most this old.
 */
export const HEARTBEAT_FRESHNESS_MS = 2_500;
/** Maximum gap between two heartbeats of a peer whose connection counts as steady. */
export const MAX_STEADY_HEARTBEAT_GAP_MS = 2 * HEARTBEAT_FRESHNESS_MS;
/** Maximum age of a counted worker heartbeat that belongs to another controller's shard. */
export const MISROUTED_HEARTBEAT_FRESHNESS_MS = 2 * HEARTBEAT_FRESHNESS_MS;
/**
 * Fraction of a shard's machines whose workers must reach another controller before the shard is handed to
 * that controller.
 */
export const MISROUTED_HANDOVER_FRACTION = 1 / 2;
/** Timeout of a request to a peer. */
export const PEER_REQUEST_TIMEOUT_MS = 900;
/** Maximum number of sockets to one peer, for heartbeats, task counts and transfers. */
export const MAX_SOCKETS_PER_PEER = 6;
/** Maximum number of incoming connections on the peer address, for each controller of the deployment. */
export const MAX_INCOMING_SOCKETS_PER_NODE = 16;

/**
 * Minimum interval between two computations of a shard's unmet demand. The leader does not act on it more
 * often.
 */
export const SHARD_SUMMARY_INTERVAL_MS = 300;
/**
 * Maximum number of spare machines of one type, zone and kind that a summary lists, to keep heartbeats small.
 */
export const MAX_SPARES_PER_KIND = 24;
/** Maximum number of demand classes in one summary, the most important first. */
export const MAX_DEMAND_CLASSES = 40;
/**
 * Maximum number of jobs of one shard whose task counts each heartbeat carries. Other controllers only
 * display the counts.
 */
export const MAX_JOBS_WITH_TASK_COUNTS = 4_000;

/**
 * Minimum interval between two writes of the same key when summaries or orders are relayed through the
 * key-value store.
 */
export const RELAY_INTERVAL_MS = 2_000;
/** Interval between two checks for summaries to relay. */
export const RELAY_CHECK_INTERVAL_MS = RELAY_INTERVAL_MS / 2;
/** Maximum age of a relayed summary or order that is used. */
export const RELAY_FRESHNESS_MS = 7_000;
/**
 * Number of reservations up to which relayed orders that are too large lose only transfers, and no
 * reservations.
 */
export const MIN_RELAYED_RESERVATIONS = 4;
/** Maximum number of waiting gangs of one demand class in a relayed summary that had to be shortened. */
export const MAX_RELAYED_GANGS_PER_DEMAND = 8;
