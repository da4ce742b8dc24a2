/**
 * Looks up the reservations of the leader. No state; the leader's heartbeats contain the reservations, and
 * shards keep the reserved machines free.
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
   * Returns the reservations whose machines a shard held here must keep free. They come from the leader if
   * this controller is the leader, else from the leader's last heartbeat, or from the relay through the
   * key-value store if no recent heartbeat was received.
   */
  forShard(shardId: number): readonly Reservation[] {
    const { coordination, leader, peers, relay } = this.sources;
    if (coordination.mayLead()) return leader.reservations;
    const node = coordination.leaderNode();
    const heartbeat = node === undefined ? null : peers.recentHeartbeat(node);
    return heartbeat ? heartbeat.reservations : relay.reservations(shardId);
  }
}
