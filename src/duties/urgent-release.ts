import type { Duty } from '@dalegate/fencing';
import { CLOUD_REQUEST_TIMEOUT_MS, MAX_MACHINES_PER_RELEASE_REQUEST } from '../constants/fleet.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { readReleaseAnswer, writeReleaseOrder } from '../peers/order-codec.js';
import { PEER_PATHS } from '../peers/request-codec.js';

/** What an urgent return needs of its controller. */
export interface UrgentReleaseDependencies {
  readonly shardId: number;
  readonly duty: Duty;
  readonly me: string;
  readonly leaderNode: () => string | undefined;
  /** ms since the state service last answered this node. */
  readonly msSinceStoreAnswered: () => number;
  /** Returns machines as the leader that this node is. */
  readonly releaseLocally: (machines: readonly string[]) => Promise<boolean>;
  readonly ask: (node: string, path: string, body: unknown, timeoutMs: number) => Promise<unknown>;
}

/**
 * Has machines returned to the cloud while the state service can't be written, so that no durable intent can
 * come first. Where it answers, the machine's record is the way: it tells a later leader too. True: they are
 * gone.
 */
export const releaseUrgently = async (
  input: UrgentReleaseDependencies,
  machines: readonly string[],
): Promise<boolean> => {
  if (
    machines.length > MAX_MACHINES_PER_RELEASE_REQUEST ||
    input.msSinceStoreAnswered() < HEARTBEAT_FRESHNESS_MS
  )
    return false;
  const to = input.leaderNode();
  const permit = to === undefined ? null : input.duty.begin('order to return machines at once');
  if (to === undefined || permit === null) return false;
  try {
    if (to === input.me) return await input.releaseLocally(machines);
    const order = writeReleaseOrder({ machines, shardId: input.shardId }, permit.token);
    return readReleaseAnswer(await input.ask(to, PEER_PATHS.release, order, CLOUD_REQUEST_TIMEOUT_MS));
  } finally {
    permit.end();
  }
};
