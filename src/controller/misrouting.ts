/**
 * Which of our shards' workers reach another controller instead of this one. Pure decision; the lease manager
 * asks for it with each look at the claims, and hands such shards over.
 */
import type { PeerNetwork } from '../peers/network.js';
import type { Shard } from '../placement/shard.js';
import type { HeldShards } from './held-shards.js';

/** Fraction of a shard's machines that another node must hear before the shard is handed to it. */
const MISROUTED_FRACTION = 1 / 2;

/** What the decision looks at. */
export interface MisroutingInput {
  readonly shards: Pick<HeldShards, 'forEach'>;
  readonly peers: Pick<PeerNetwork, 'misroutedHeartbeats'>;
}

/** The node that hears the shard's workers while this one hears none of them; null: there is no such node. */
const nodeReachedInstead = (shard: Shard, peers: MisroutingInput['peers']): string | null => {
  const { machines, heard } = shard.heartbeatCoverage();
  if (machines === 0 || heard > 0) return null;
  const misrouted = peers.misroutedHeartbeats(String(shard.shardId));
  return misrouted && misrouted.count >= machines * MISROUTED_FRACTION ? misrouted.node : null;
};

/** Shards of ours whose workers reach only another node: by slot, that node. */
export const findUnreachableShards = ({ shards, peers }: MisroutingInput): ReadonlyMap<string, string> => {
  const unreachable = new Map<string, string>();
  shards.forEach((shard) => {
    const node = nodeReachedInstead(shard, peers);
    if (node !== null) unreachable.set(String(shard.shardId), node);
  });
  return unreachable;
};
