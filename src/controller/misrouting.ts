/**
 * Determines which shards held here have workers that reach another controller instead of this one. Pure
 * functions; the claim reconciler calls them at each check of the claims and hands such shards over.
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

/** Returns the controller that the shard's workers reach while none of them reaches this one; else null. */
const nodeReachedInstead = (shard: Shard, peers: MisroutingSources['peers']): string | null => {
  const { machines, reporting: heard } = shard.heartbeatCoverage();
  if (machines === 0 || heard > 0) return null;
  const misrouted = peers.misroutedHeartbeats(String(shard.shardId));
  return misrouted && misrouted.count >= machines * MISROUTED_HANDOVER_FRACTION ? misrouted.node : null;
};

/**
 * Returns, for each shard held here whose workers reach only another controller, that controller by claim
 * name.
 */
export const findUnreachableShards = ({ shards, peers }: MisroutingSources): ReadonlyMap<string, string> => {
  const unreachable = new Map<string, string>();
  shards.forEach((shard) => {
    const node = nodeReachedInstead(shard, peers);
    if (node !== null) unreachable.set(String(shard.shardId), node);
  });
  return unreachable;
};
