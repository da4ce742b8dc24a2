import { outageGraceUntil } from '../cancellation/outage-grace.js';
import { OUTAGE_GRACE_MARGIN_MS } from '../constants/cancellation.js';
import { CLOCK_DRIFT_FRACTION } from '../constants/leases.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { ACKNOWLEDGEMENT_PROTOCOL_VERSION } from '../constants/protocol.js';
import type { PeerView } from '../peers/peer-view.js';
import type { ProtocolVersion } from '../peers/protocol-version.js';
import type { WatchCache } from '../kv-store/watch-cache.js';

/** What this node knows about an outage of the state service. */
export interface OutageInput {
  readonly nodes: number;
  /** ms since the state service last answered this node. */
  readonly msSinceStoreAnswered: () => number;
  readonly peers: Pick<PeerView, 'storeReachability' | 'storeDownForAll'>;
  readonly protocolVersion: Pick<ProtocolVersion, 'agreed'>;
  readonly cache: Pick<WatchCache, 'confirmedAt'>;
  readonly workers: { readonly cancel_s: number; readonly lease_s: number };
}

/** Most nodes, this one included, can't reach the state service, and no node says that it can. */
const confirmed = ({ msSinceStoreAnswered, peers, nodes }: OutageInput): boolean => {
  if (msSinceStoreAnswered() < HEARTBEAT_FRESHNESS_MS) return false;
  const word = peers.storeReachability();
  return word.up === 0 && (word.down + 1) * 2 > nodes;
};

/**
 * ms, on the clock of the leases: until when this node may go on answering workers without renewals; null: it
 * may not.
 */
export const outageGrace = (input: OutageInput): number | null =>
  outageGraceUntil({
    confirmed: confirmed(input),
    onlyAcknowledgedConfirmed:
      input.protocolVersion.agreed >= ACKNOWLEDGEMENT_PROTOCOL_VERSION && input.peers.storeDownForAll(),
    confirmedAt: input.cache.confirmedAt,
    cancelMs: input.workers.cancel_s * 1000 * (1 - CLOCK_DRIFT_FRACTION),
    leaseMs: input.workers.lease_s * 1000 * (1 + CLOCK_DRIFT_FRACTION),
    marginMs: OUTAGE_GRACE_MARGIN_MS,
  });
