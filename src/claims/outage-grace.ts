/**
 * How long this controller may go on answering workers while the key-value store is out for most controllers,
 * so that no lease can be renewed. No state; asked at each check of the claims.
 */
import { outageGraceUntil } from '../cancellation/outage-grace.js';
import { OUTAGE_GRACE_MARGIN_MS } from '../constants/cancellation.js';
import { CLOCK_DRIFT_FRACTION } from '../constants/leases.js';
import { HEARTBEAT_FRESHNESS_MS } from '../constants/peers.js';
import { ACKNOWLEDGEMENT_PROTOCOL_VERSION } from '../constants/protocol.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { PeerView } from '../peers/peer-view.js';
import type { ProtocolVersion } from '../peers/protocol-version.js';

const MS_PER_S = 1000;

/** What this controller knows of an outage of the store. */
export interface OutageEvidence {
  /** Number of controllers, this one included. */
  readonly controllerCount: number;
  /** ms since the store last answered this controller. */
  readonly msSinceStoreAnswered: () => number;
  readonly peers: Pick<PeerView, 'storeReachability' | 'storeDownForAll'>;
  readonly protocolVersion: Pick<ProtocolVersion, 'agreed'>;
  readonly cache: Pick<WatchCache, 'confirmedAt'>;
  /** s: within which a cancelled task must have stopped. */
  readonly cancellationLimitS: number;
  /** s: for which a worker goes on without an answer. */
  readonly workerLeaseS: number;
}

/** Most controllers, this one included, can't reach the store, and none says that it can. */
const isConfirmed = ({ msSinceStoreAnswered, peers, controllerCount }: OutageEvidence): boolean => {
  if (msSinceStoreAnswered() < HEARTBEAT_FRESHNESS_MS) return false;
  const reachability = peers.storeReachability();
  return reachability.up === 0 && (reachability.down + 1) * 2 > controllerCount;
};

/** ms, lease clock: until when workers may be answered without renewals; null: there is no outage. */
export const outageGraceDeadline = (evidence: OutageEvidence): number | null =>
  outageGraceUntil({
    confirmed: isConfirmed(evidence),
    onlyAcknowledgedConfirmed:
      evidence.protocolVersion.agreed >= ACKNOWLEDGEMENT_PROTOCOL_VERSION && evidence.peers.storeDownForAll(),
    confirmedAt: evidence.cache.confirmedAt,
    cancellationLimitMs: evidence.cancellationLimitS * MS_PER_S * (1 - CLOCK_DRIFT_FRACTION),
    workerLeaseMs: evidence.workerLeaseS * MS_PER_S * (1 + CLOCK_DRIFT_FRACTION),
    marginMs: OUTAGE_GRACE_MARGIN_MS,
  });
