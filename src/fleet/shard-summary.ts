/**
 * The summary that the holder of a shard sends to the leader with the heartbeats between controllers: unmet
 * demand and spare machines. Plain data; the placement of the shard builds it, the scaling plan reads it.
 */
import type { MachineKind } from './machine-record.js';

/** A job that waits as a whole: a gang, or a job of another kind of which no task has started. */
export interface WaitingGang {
  readonly job: string;
  readonly tasks: number;
  /** How long the job has waited, in ms. */
  readonly waitedMs: number;
  /** How long the job must wait before machines are reserved for it, in ms. */
  readonly reserveAfterMs: number;
}

/** Demand of a shard for which it has no capacity: one entry for each class of similar jobs. */
export interface UnmetDemand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly spot: boolean;
  readonly gang: boolean;
  readonly oneZone: boolean;
  /** Whether provisioning on-demand machines is worth their price although the jobs may use spot machines. */
  readonly urgent: boolean;
  readonly priority: number;
  /** Number of tasks, including those of the jobs in `gangs`. */
  readonly tasks: number;
  /** The gangs, and the other jobs of which no task has started. */
  readonly gangs: readonly WaitingGang[];
  /** For one-zone gangs: number of tasks that the shard has capacity for, by zone. */
  readonly zoneCapacity: Readonly<Record<string, number>>;
  /** How long the first job of the class, in placement order, has waited, in ms. */
  readonly waitedMs: number;
}

/** A machine without tasks that may be transferred to another shard. */
export interface SpareMachine extends MachineKind {
  readonly id: string;
  readonly idleS: number;
}

/** Number of spare machines of one kind that a summary does not list. */
export interface UnlistedSpares extends MachineKind {
  readonly count: number;
}

/** The state of a shard as its holder reports it to the leader. */
export interface ShardSummary {
  readonly shardId: number;
  /** Revision of the holder's claim on the shard. */
  readonly claim: number;
  /** Revision of the shared keys that this summary reflects. */
  readonly revision: number;
  readonly needs: readonly UnmetDemand[];
  /** Machines without any task; of each kind only a limited number is listed. */
  readonly spares: readonly SpareMachine[];
  /** Kinds with more spare machines than `spares` lists; earlier versions don't send it. */
  readonly unlisted?: readonly UnlistedSpares[];
}
