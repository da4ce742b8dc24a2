/**
 * What the holder of a shard tells the leader, with the heartbeats of the controllers: unmet demand and spare
 * machines. Plain data; the shard's placement builds it, the scaling plan reads it.
 */
import type { MachineKind } from './machine-record.js';

/** A job that waits as a whole: a gang, or another job none of whose tasks has begun. */
export interface WaitingGang {
  readonly job: string;
  readonly tasks: number;
  /** How long it has waited, in ms. */
  readonly waitedMs: number;
  /** Wait after which machines are reserved for it, in ms. */
  readonly reserveAfterMs: number;
}

/** What a shard still needs, as its holder tells the leader: one entry a class of like jobs. */
export interface UnmetDemand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spot: boolean;
  readonly gang: boolean;
  readonly oneZone: boolean;
  /** Worth an on-demand machine although spot ones are allowed. */
  readonly urgent: boolean;
  readonly priority: number;
  /** Tasks in all; gangs, and other jobs of which nothing has begun, are listed one by one too. */
  readonly tasks: number;
  readonly gangs: readonly WaitingGang[];
  /** Of a one-zone gang: tasks that its shard already has capacity for, by zone. */
  readonly zoneCapacity: Readonly<Record<string, number>>;
  /** How long the oldest has waited, in ms. */
  readonly waitedMs: number;
}

/** A machine without tasks that may go to another shard. */
export interface SpareMachine extends MachineKind {
  readonly id: string;
  readonly idleS: number;
}

/** How many spare machines of one kind a shard has beyond those that it names. */
export interface UnlistedSpares extends MachineKind {
  readonly count: number;
}

/** What the holder of a shard tells the leader. */
export interface ShardSummary {
  readonly shardId: number;
  readonly claim: number;
  /** Revision of the shared keys that this summary reflects. */
  readonly revision: number;
  readonly needs: readonly UnmetDemand[];
  /** Machines without any task. */
  readonly spares: readonly SpareMachine[];
  /** Of kinds with more spares than are named; earlier versions don't say. */
  readonly unlisted?: readonly UnlistedSpares[];
}
