/** What the leader knows of each shard. No state; the leader asks for it with each plan. */
import type { LeaseManager } from '../claims/lease-manager.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { PeerView } from '../peers/peer-view.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { HeldShards } from './held-shards.js';

/** Matches the claim of no summary. */
const NO_CLAIM = -1;

/** Where summaries come from. */
export interface SummarySources {
  readonly shardCount: number;
  readonly leases: Pick<LeaseManager, 'claim'>;
  readonly shards: Pick<HeldShards, 'ownSummaries'>;
  readonly peers: Pick<PeerView, 'summaries'>;
  readonly relay: Pick<KeyValueStoreRelay, 'summary'>;
}

/** The summaries that need no relay: of the shards held here, and in the recent heartbeats of peers. */
export const directSummaries = ({
  shards,
  peers,
}: Pick<SummarySources, 'shards' | 'peers'>): readonly ShardSummary[] => [
  ...shards.ownSummaries(),
  ...peers.summaries(),
];

/** One summary a shard, as far as there is one: relayed where it does not come directly. */
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
