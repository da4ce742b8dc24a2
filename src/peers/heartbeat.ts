/**
 * The heartbeats that controllers send each other about once a second; `heartbeat-codec.ts` defines their
 * wire form. Types only: `controller/heartbeat.ts` builds heartbeats, `peer-view.ts` keeps those of the
 * peers.
 */
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary } from '../fleet/shard-summary.js';

/** Requests and changes per second that a controller wants to send to the key-value store. */
export interface StoreDemand {
  readonly requests: number;
  readonly changes: number;
}

/** Task counts of one job. */
export type TaskCounts = readonly [job: string, done: number, running: number];

/** Task counts of the jobs of one shard, for display by other controllers. */
export interface ShardTaskCounts {
  readonly shardId: number;
  readonly jobs: readonly TaskCounts[];
}

/** A heartbeat from one controller to another. */
export interface PeerHeartbeat {
  /** The name of the controller that sends the heartbeat. */
  readonly from: string;
  /** Identifies the sending process; differs for every process that ever runs under this name. */
  readonly incarnation: string;
  /**
   * The protocol version that the sender supports (`protocol-version.ts`); earlier versions omit the field.
   */
  readonly protocolVersion?: number;
  /** The id of the sender's lease; null: the sender has none. */
  readonly lease: number | null;
  /** ms since the key-value store last answered the sender. */
  readonly storeSilenceMs: number;
  /** Task counts of the shards that the sender holds. */
  readonly counts: readonly ShardTaskCounts[];
  /**
   * Summaries of the shards that the sender holds: complete for the leader; for other peers without unmet
   * demand, and with one spare machine of each kind.
   */
  readonly summaries: readonly ShardSummary[];
  /** Whether workers could not reach the sender recently. */
  readonly workersUnreachable: boolean;
  /**
   * By shard id: number of machines whose worker recently sent heartbeats to the sender although the
   * sender does not hold the machine's shard.
   */
  readonly misroutedHeartbeats: Readonly<Record<string, number>>;
  /** The sender's demand on the key-value store. */
  readonly demand: StoreDemand;
  /** Reservations of machines of one zone for a gang, if the sender is the leader; else empty. */
  readonly reservations: readonly Reservation[];
}
