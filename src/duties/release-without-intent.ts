/**
 * The release of machines while the key-value store can't be written, so that no durable intent can be
 * written first: the holder of a shard orders the leader to release them at once. The shard calls it for
 * machines with cancelled tasks. Stateless.
 */
import type { Duty } from '@dalegate/fencing';
import { CLOUD_REQUEST_TIMEOUT_MS, MAX_MACHINES_PER_RELEASE_REQUEST } from '../constants/fleet.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { readReleaseAnswer, writeReleaseOrder } from '../peers/order-codec.js';
import { PEER_PATHS } from '../peers/request-codec.js';

/** What a release without intent requires of its controller. */
export interface ReleaseWithoutIntentDependencies {
  readonly shardId: number;
  readonly duty: Duty;
  /** The name of this controller. */
  readonly ownNode: string;
  /** Returns the name of the controller that leads; undefined if none does. */
  readonly leaderNode: () => string | undefined;
  /** Returns the time since the key-value store last answered this controller, in ms. */
  readonly msSinceStoreAnswered: () => number;
  /** Releases machines if this controller is the leader. Returns whether they are gone. */
  readonly releaseLocally: (machines: readonly string[]) => Promise<boolean>;
  /** Sends a request to another controller; returns null if there is no usable answer. */
  readonly sendRequest: (node: string, path: string, body: unknown, timeoutMs: number) => Promise<unknown>;
}

/**
 * Releases machines at once if the key-value store does not answer. While the store answers, the intent in
 * the machine record requests the release instead, since a later leader reads that intent too. Returns
 * whether the machines are gone.
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
