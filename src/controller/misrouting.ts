/**
 * Determines which shards held here have workers that reach another controller instead of this one. Pure
 * functions; the claim reconciler calls them at each check of the claims, to hand such shards over.
 */
import { MISROUTED_HANDOVER_FRACTION } from '../constants/peers.js';
import type { PeerView } from '../peers/peer-view.js';
import type { Shard } from '../placement/shard.js';
import type { HeldShards } from './held-shards.js';

/** The sources of the information on which the decision depends. */
export interface MisroutingSources {
  readonly shards: Pick<HeldShards, 'forEach'>;
  readonly peers: Pick<PeerView, 'misroutedHeartbeats'>;
}

/**
 * Returns the name of another controller that at least `MISROUTED_HANDOVER_FRACTION` of the shard's workers
 * reach, if no worker of the shard has reached this controller recently; else null.
 */
const nodeReachedInstead = (shard: Shard, peers: MisroutingSources['peers']): string | null => {
  const { machines, reporting: heard } = shard.heartbeatCoverage();
  if (machines === 0 || heard > 0) return null;
  const misrouted = peers.misroutedHeartbeats(String(shard.shardId));
  return misrouted && misrouted.count >= machines * MISROUTED_HANDOVER_FRACTION ? misrouted.node : null;
};

/**
 * Returns a map from the claim name of each shard held here whose workers reach only another controller to
 * the name of that controller.
 */
export const findUnreachableShards = ({ shards, peers }: MisroutingSources): ReadonlyMap<string, string> => {
  const unreachable = new Map<string, string>();
  shards.forEach((shard) => {
    const node = nodeReachedInstead(shard, peers);
    if (node !== null) unreachable.set(String(shard.shardId), node);
  });
  return unreachable;
};
