import type { Reservation, ShardSummary } from '../fleet/records.js';

/**
 * What controllers tell each other about once a second; `heartbeat-codec.ts` has the form in which it
 * travels.
 */

/** Requests and changes a second that a node asks of the state service. */
export interface Demand {
  readonly requests: number;
  readonly changes: number;
}

/** Task counts of one job. */
export type TaskCounts = readonly [job: string, done: number, running: number];

/** Task counts of jobs that run in one share, for display at other nodes. */
export interface ShardMachineCounts {
  readonly shardId: number;
  readonly jobs: readonly TaskCounts[];
}

/** What one controller tells another. */
export interface PeerHeartbeat {
  readonly from: string;
  readonly incarnation: string;
  /** What this node understands (`protocol-version.ts`); versions before that don't say. */
  readonly protocolVersion?: number;
  readonly lease: number | null;
  /** ms since the state service last answered this node. */
  readonly storeSilenceMs: number;
  readonly counts: readonly ShardMachineCounts[];
  /** In full for the leader; for the others without needs, and with a few spares of each kind. */
  readonly summaries: readonly ShardSummary[];
  readonly workersUnreachable: boolean;
  /** Machines that lately reported here although another node holds their share: by share. */
  readonly misroutedHeartbeats: Readonly<Record<string, number>>;
  /** What this node asks of the state service, a second. */
  readonly demand: Demand;
  /** The leader's: machines that are being gathered for a large gang. */
  readonly reservations: readonly Reservation[];
}
