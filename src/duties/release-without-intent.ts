/**
 * The release of machines while the state service can't be written, so that no durable intent can come
 * first: the holder of a shard orders the leader to release them at once. The shard calls it for machines
 * with cancelled tasks. Without state.
 */
import type { Duty } from '@dalegate/fencing';
import { CLOUD_REQUEST_TIMEOUT_MS, MAX_MACHINES_PER_RELEASE_REQUEST } from '../constants/fleet.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { readReleaseAnswer, writeReleaseOrder } from '../peers/order-codec.js';
import { PEER_PATHS } from '../peers/request-codec.js';

/** What a release without intent needs of its controller. */
export interface ReleaseWithoutIntentDependencies {
  readonly shardId: number;
  readonly duty: Duty;
  /** The name of this controller. */
  readonly ownNode: string;
  /** The name of the controller that leads; undefined: nobody does. */
  readonly leaderNode: () => string | undefined;
  /** ms since the state service last answered this controller. */
  readonly msSinceStoreAnswered: () => number;
  /** Releases machines as the leader that this controller is. True: they are gone. */
  readonly releaseLocally: (machines: readonly string[]) => Promise<boolean>;
  /** Sends a request to another controller; null: no usable answer. */
  readonly sendRequest: (node: string, path: string, body: unknown, timeoutMs: number) => Promise<unknown>;
}

/**
 * Has machines released at once if the state service does not answer. Where it answers, the machine's
 * record is the way: it tells a later leader too. True: they are gone.
 */
export const releaseWithoutIntent = async (
  dependencies: ReleaseWithoutIntentDependencies,
  machines: readonly string[],
): Promise<boolean> => {
  if (machines.length > MAX_MACHINES_PER_RELEASE_REQUEST) return false;
  if (dependencies.msSinceStoreAnswered() < HEARTBEAT_FRESHNESS_MS) return false;
  const leader = dependencies.leaderNode();
  if (leader === undefined) return false;
  const permit = dependencies.duty.begin('order to return machines at once');
  if (permit === null) return false;
  try {
    if (leader === dependencies.ownNode) return await dependencies.releaseLocally(machines);
    const order = writeReleaseOrder({ machines, shardId: dependencies.shardId }, permit.token);
    return readReleaseAnswer(
      await dependencies.sendRequest(leader, PEER_PATHS.release, order, CLOUD_REQUEST_TIMEOUT_MS),
    );
  } finally {
    permit.end();
  }
};
