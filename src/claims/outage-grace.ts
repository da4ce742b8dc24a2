/**
 * Determines how long this controller may continue to answer workers while most controllers cannot reach the
 * key-value store, so that no lease can be renewed. No state; called at each check of the claims.
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

/** The information from which this controller concludes that there is an outage of the key-value store. */
export interface OutageEvidence {
  /** The number of controllers, this one included. */
  readonly controllerCount: number;
  /** ms since the key-value store last answered this controller. */
  readonly msSinceStoreAnswered: () => number;
  readonly peers: Pick<PeerView, 'storeReachability' | 'storeDownForAll'>;
  readonly protocolVersion: Pick<ProtocolVersion, 'agreed'>;
  readonly cache: Pick<WatchCache, 'confirmedAt'>;
  /** s within which a cancelled task must have stopped. */
  readonly cancellationLimitS: number;
  /** s for which a worker continues its tasks without an answer from a controller. */
  readonly workerLeaseS: number;
}

/**
 * Whether a majority of the controllers, this one included, cannot reach the key-value store, and no peer
 * reports that it can.
 */
const isOutageConfirmed = ({ msSinceStoreAnswered, peers, controllerCount }: OutageEvidence): boolean => {
  if (msSinceStoreAnswered() < HEARTBEAT_FRESHNESS_MS) return false;
  const reachability = peers.storeReachability();
  return reachability.up === 0 && (reachability.down + 1) * 2 > controllerCount;
};

/**
 * Returns the time until which this controller may answer workers without renewing its lease (ms, lease
 * clock); null: there is no outage.
 */
export const outageGraceDeadline = (evidence: OutageEvidence): number | null =>
  outageGraceUntil({
    confirmed: isOutageConfirmed(evidence),
    onlyAcknowledgedConfirmed:
      evidence.protocolVersion.agreed >= ACKNOWLEDGEMENT_PROTOCOL_VERSION && evidence.peers.storeDownForAll(),
    confirmedAt: evidence.cache.confirmedAt,
    cancellationLimitMs: evidence.cancellationLimitS * MS_PER_S * (1 - CLOCK_DRIFT_FRACTION),
    workerLeaseMs: evidence.workerLeaseS * MS_PER_S * (1 + CLOCK_DRIFT_FRACTION),
    marginMs: OUTAGE_GRACE_MARGIN_MS,
  });
