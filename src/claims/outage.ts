import { outageGraceUntil } from '../cancellation/evidence.js';
import {
  CLOCK_DRIFT,
  HEARTBEAT_FRESH_MS,
  OUTAGE_GRACE_MARGIN_MS,
  PROTOCOL_ACKNOWLEDGES_CANCELLATIONS,
} from '../constants.js';
import type { PeerNetwork } from '../peers/network.js';
import type { ProtocolVersion } from '../peers/protocol-version.js';
import type { WatchCache } from '../store/watch-cache.js';

/** What this node knows about an outage of the state service. */
export interface OutageInput {
  readonly nodes: number;
  /** ms since the state service last answered this node. */
  readonly stateAge: () => number;
  readonly peers: Pick<PeerNetwork, 'stateReachability' | 'allDown'>;
  readonly protocolVersion: Pick<ProtocolVersion, 'agreed'>;
  readonly cache: Pick<WatchCache, 'freshAt'>;
  readonly workers: { readonly cancel_s: number; readonly lease_s: number };
}

/** Most nodes, this one included, can't reach the state service, and no node says that it can. */
const confirmed = ({ stateAge, peers, nodes }: OutageInput): boolean => {
  if (stateAge() < HEARTBEAT_FRESH_MS) return false;
  const word = peers.stateReachability();
  return word.up === 0 && (word.down + 1) * 2 > nodes;
};

/** ms, on the clock of the leases: until when this node may go on answering workers without renewals; null: it may not. */
export const outageGrace = (input: OutageInput): number | null =>
  outageGraceUntil({
    confirmed: confirmed(input),
    nobodyTells: input.protocolVersion.agreed >= PROTOCOL_ACKNOWLEDGES_CANCELLATIONS && input.peers.allDown(),
    freshAt: input.cache.freshAt,
    cancelMs: input.workers.cancel_s * 1000 * (1 - CLOCK_DRIFT),
    leaseMs: input.workers.lease_s * 1000 * (1 + CLOCK_DRIFT),
    marginMs: OUTAGE_GRACE_MARGIN_MS,
  });
