/**
 * What controllers tell each other about once a second; `heartbeat-codec.ts` has the form in which it
 * travels. Types only: `controller/heartbeat.ts` builds heartbeats, `peer-view.ts` keeps those of the peers.
 */
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary } from '../fleet/shard-summary.js';

/** Requests and changes a second that a controller asks of the key-value store. */
export interface StoreDemand {
  readonly requests: number;
  readonly changes: number;
}

/** Task counts of one job. */
export type TaskCounts = readonly [job: string, done: number, running: number];

/** Task counts of jobs that run in one shard, for display by other controllers. */
export interface ShardTaskCounts {
  readonly shardId: number;
  readonly jobs: readonly TaskCounts[];
}

/** What one controller tells another. */
export interface PeerHeartbeat {
  /** The name of the controller that sends it. */
  readonly from: string;
  /** Differs for every process that ever runs under this name. */
  readonly incarnation: string;
  /** What the sender understands (`protocol-version.ts`); earlier versions don't say. */
  readonly protocolVersion?: number;
  /** The id of its lease; null: it has none. */
  readonly lease: number | null;
  /** ms since the key-value store last answered the sender. */
  readonly storeSilenceMs: number;
  readonly counts: readonly ShardTaskCounts[];
  /** In full for the leader; for the others without needs, and with a few spares of each kind. */
  readonly summaries: readonly ShardSummary[];
  /** Workers lately could not reach the sender. */
  readonly workersUnreachable: boolean;
  /**
   * Machines whose worker lately sent heartbeats here although another controller holds their shard: by
   * shard.
   */
  readonly misroutedHeartbeats: Readonly<Record<string, number>>;
  /** What the sender asks of the key-value store. */
  readonly demand: StoreDemand;
  /** Of the leader: machines of one zone that are kept free for a gang. */
  readonly reservations: readonly Reservation[];
}
