/**
 * Creates this controller's heartbeats to peers from the state of the subsystems. No state of its own; the
 * peer network calls it.
 */
import type { ClaimHolder } from '../claims/claim-decisions.js';
import type { LeaseManager } from '../claims/lease-manager.js';
import { MISROUTED_HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { PROTOCOL_VERSION } from '../constants/protocol.js';
import type { Reservation } from '../fleet/reservation.js';
import type { PeerHeartbeat } from '../peers/heartbeat.js';
import { abridgedSummary } from '../placement/spare-machines.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { WorkerHeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { HeldShards } from './held-shards.js';

/** The sources of the values in a heartbeat. */
export interface HeartbeatSources {
  readonly self: ClaimHolder;
  readonly leases: Pick<LeaseManager, 'lease' | 'workersUnreachable'>;
  readonly leaderNode: () => string | undefined;
  /** ms since the key-value store last answered this controller. */
  readonly msSinceStoreAnswered: () => number;
  readonly store: Pick<KeyValueStore, 'requests' | 'changes'>;
  readonly shards: Pick<HeldShards, 'taskCounts' | 'ownSummaries'>;
  readonly heartbeatHandler: Pick<WorkerHeartbeatHandler, 'misroutedCounts'>;
  /** The reservations that this controller announces as the leader. */
  readonly reservations: () => readonly Reservation[];
}

/**
 * Creates the heartbeat to the peer `to`, with the fields in the order in which they are sent. Only the
 * leader receives the complete summaries of the shards.
 */
export const createHeartbeat = (sources: HeartbeatSources, to: string): PeerHeartbeat => {
  const { self, leases, shards, store } = sources;
  return {
    from: self.node,
    incarnation: self.incarnation,
    protocolVersion: PROTOCOL_VERSION,
    lease: leases.lease,
    storeSilenceMs: sources.msSinceStoreAnswered(),
    counts: shards.taskCounts(),
    summaries:
      to === sources.leaderNode() ? shards.ownSummaries() : shards.ownSummaries().map(abridgedSummary),
    workersUnreachable: leases.workersUnreachable,
    misroutedHeartbeats: sources.heartbeatHandler.misroutedCounts(MISROUTED_HEARTBEAT_FRESHNESS_MS),
    demand: { requests: store.requests.demand(), changes: store.changes.demand() },
    reservations: sources.reservations(),
  };
};
