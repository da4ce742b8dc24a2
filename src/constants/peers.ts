/** What controllers tell each other: heartbeats, summaries of shards, and the relay through the store. */

/** Pause between two heartbeats to one peer. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/**
 * Heartbeat intervals after which the second of two controllers, by name, exchanges in place of the first.
 */
export const HEARTBEAT_RESPONDER_FACTOR = 1.25;
/** Part of that time after which an exchange is due, for timers that fire a little early. */
export const HEARTBEAT_DUE_FRACTION = 0.9;
/** Least time between two heartbeats to the leader when something changed. */
export const HEARTBEAT_NOTIFICATION_INTERVAL_MS = 400;
/** Least pause of the heartbeat loop. */
export const MIN_HEARTBEAT_PAUSE_MS = HEARTBEAT_NOTIFICATION_INTERVAL_MS / 4;
/** Age up to which a heartbeat counts, and up to which the store counts as reachable. */
export const HEARTBEAT_FRESHNESS_MS = 2_500;
/** Longest gap between two heartbeats of a peer that counts as steady. */
export const MAX_STEADY_HEARTBEAT_GAP_MS = 2 * HEARTBEAT_FRESHNESS_MS;
/** Age up to which a worker heartbeat that belongs to the shard of another controller is counted. */
export const MISROUTED_HEARTBEAT_FRESHNESS_MS = 2 * HEARTBEAT_FRESHNESS_MS;
/** Fraction of a shard's machines whose workers must reach another controller before it gets the shard. */
export const MISROUTED_HANDOVER_FRACTION = 1 / 2;
/** Timeout of a request to a peer. */
export const PEER_REQUEST_TIMEOUT_MS = 900;
/** Sockets to one peer, for heartbeats, task counts and moves. */
export const MAX_SOCKETS_PER_PEER = 6;
/** Incoming connections on the peer address for each controller of the deployment. */
export const MAX_INCOMING_SOCKETS_PER_NODE = 16;

/** Least time between two computations of a shard's unmet demand; the leader acts on it no faster. */
export const SHARD_SUMMARY_INTERVAL_MS = 300;
/** Spare machines of one type, zone and kind that a summary names; heartbeats must stay small. */
export const MAX_SPARES_PER_KIND = 24;
/** Classes of demand in one summary, the most important first. */
export const MAX_DEMAND_CLASSES = 40;
/** Jobs of one shard whose task counts go with each heartbeat; other controllers only display them. */
export const MAX_JOBS_WITH_TASK_COUNTS = 4_000;

/** Least time between two writes of the same key when summaries or orders go through the store. */
export const RELAY_INTERVAL_MS = 2_000;
/** Pause between two checks for summaries to relay. */
export const RELAY_CHECK_INTERVAL_MS = RELAY_INTERVAL_MS / 2;
/** Age up to which a relayed summary or order counts. */
export const RELAY_FRESHNESS_MS = 7_000;
/** Reservations up to which relayed orders that are too long are shortened by their moves alone. */
export const MIN_RELAYED_RESERVATIONS = 4;
/** Waiting gangs of one class of demand that a relayed summary keeps when it is too long. */
export const MAX_RELAYED_GANGS_PER_DEMAND = 8;
