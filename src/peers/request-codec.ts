/**
 * The paths of requests between controllers, on the peer address. Two versions serve side by side during an
 * upgrade, so the paths are fixed. No state.
 */

/** The path of each kind of request between controllers. */
export const PEER_PATHS = {
  /** An exchange of heartbeats: the answer is the other controller's heartbeat. */
  heartbeat: '/beat',
  /** The leader's order to transfer machines to other shards. */
  transfer: '/move',
  /** A holder's order to release machines at once. */
  release: '/return',
  /** A question to the holder of a shard: does it act on these cancellations? */
  acknowledge: '/heed',
} as const;
