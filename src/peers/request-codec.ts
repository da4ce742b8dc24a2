/**
 * The paths of requests between controllers, on the peer address. Controllers of two versions run side by
 * side during an upgrade, so the paths are fixed. No state.
 */

/** The path of each kind of request between controllers. */
export const PEER_PATHS = {
  /** An exchange of heartbeats: the answer is the other controller's heartbeat. */
  heartbeat: '/beat',
  /** The leader's order to transfer machines to other shards. */
  transfer: '/move',
  /** An order from the holder of a shard to the leader to release machines at once. */
  release: '/return',
  /**
   * A request to the holder of a shard to apply cancellations; the answer states for each cancellation
   * whether the holder applied it.
   */
  acknowledge: '/heed',
} as const;
