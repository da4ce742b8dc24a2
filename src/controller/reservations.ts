/**
 * Finds the leader's reservations. No state; heartbeats announce them, shards leave reserved machines alone.
 */
import type { Leader } from '../fleet/leader.js';
import type { Reservation } from '../fleet/reservation.js';
import type { PeerView } from '../peers/peer-view.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { Coordination } from './coordination.js';

/** Where reservations come from. */
export interface ReservationSources {
  readonly coordination: Pick<Coordination, 'leaderNode' | 'mayLead'>;
  readonly leader: Pick<Leader, 'reservations'>;
  readonly peers: Pick<PeerView, 'recentHeartbeat'>;
  readonly relay: Pick<KeyValueStoreRelay, 'reservations'>;
}

/** The reservations of whichever controller leads. */
export class Reservations {
  constructor(private readonly sources: ReservationSources) {}

  /** What this controller announces; nothing unless it leads. */
  announced(): readonly Reservation[] {
    return this.sources.coordination.mayLead() ? this.sources.leader.reservations : [];
  }

  /**
   * What a shard held here must leave free: from the leader's heartbeat, or relayed while none comes.
   */
  forShard(shardId: number): readonly Reservation[] {
    const { coordination, leader, peers, relay } = this.sources;
    if (coordination.mayLead()) return leader.reservations;
    const node = coordination.leaderNode();
    const heartbeat = node === undefined ? null : peers.recentHeartbeat(node);
    return heartbeat ? heartbeat.reservations : relay.reservations(shardId);
  }
}
