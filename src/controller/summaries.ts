/** Collects the summaries of all shards for the leader. No state; the leader calls it for each plan. */
import type { LeaseManager } from '../claims/lease-manager.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { PeerView } from '../peers/peer-view.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { HeldShards } from './held-shards.js';

/** A claim revision that matches no summary. */
const NO_CLAIM = -1;

/** The sources of summaries. */
export interface SummarySources {
  readonly shardCount: number;
  readonly leases: Pick<LeaseManager, 'claim'>;
  readonly shards: Pick<HeldShards, 'ownSummaries'>;
  readonly peers: Pick<PeerView, 'summaries'>;
  readonly relay: Pick<KeyValueStoreRelay, 'summary'>;
}

/** Returns the summaries of the shards held here and those in the recent heartbeats of peers. */
export const directSummaries = ({
  shards,
  peers,
}: Pick<SummarySources, 'shards' | 'peers'>): readonly ShardSummary[] => [
  ...shards.ownSummaries(),
  ...peers.summaries(),
];

/**
 * Returns at most one summary for each shard: the direct summary, or the relayed one if there is no direct
 * summary.
 */
export const collectSummaries = (sources: SummarySources): readonly ShardSummary[] => {
  const { leases, relay } = sources;
  const direct = directSummaries(sources);
  const relayed = (shardId: number): ShardSummary | null =>
    relay.summary(shardId, leases.claim(String(shardId))?.revision ?? NO_CLAIM);
  const summaryOf = (shardId: number): ShardSummary | null =>
    direct.find((summary) => summary.shardId === shardId) ?? relayed(shardId);
  return Array.from({ length: sources.shardCount }, (_, shardId) => summaryOf(shardId)).filter(
    (summary) => summary !== null,
  );
};
