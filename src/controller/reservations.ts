/**
 * Looks up the reservations of the leader. No state; heartbeats announce the reservations, and shards keep
 * reserved machines free.
 */
import type { Leader } from '../fleet/leader.js';
import type { Reservation } from '../fleet/reservation.js';
import type { PeerView } from '../peers/peer-view.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { Coordination } from './coordination.js';

/** The sources of reservations. */
export interface ReservationSources {
  readonly coordination: Pick<Coordination, 'leaderNode' | 'mayLead'>;
  readonly leader: Pick<Leader, 'reservations'>;
  readonly peers: Pick<PeerView, 'recentHeartbeat'>;
  readonly relay: Pick<KeyValueStoreRelay, 'reservations'>;
}

/** The reservations of the current leader. */
export class Reservations {
  constructor(private readonly sources: ReservationSources) {}

  /** Returns the reservations that this controller announces; empty unless this controller is the leader. */
  announced(): readonly Reservation[] {
    return this.sources.coordination.mayLead() ? this.sources.leader.reservations : [];
  }

  /**
   * Returns the reservations that a shard held here must keep free: from the leader's heartbeat, or from the
   * relay through the key-value store while there is no recent heartbeat.
   */
  forShard(shardId: number): readonly Reservation[] {
    const { coordination, leader, peers, relay } = this.sources;
    if (coordination.mayLead()) return leader.reservations;
    const node = coordination.leaderNode();
    const heartbeat = node === undefined ? null : peers.recentHeartbeat(node);
    return heartbeat ? heartbeat.reservations : relay.reservations(shardId);
  }
}
