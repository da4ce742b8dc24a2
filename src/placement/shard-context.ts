/**
 * What a shard needs of the rest of the controller, as a handful of ports. No state; the controller builds
 * one `ShardContext` for each claim.
 */
import type { Duty } from '@dalegate/fencing';
import type { Reservation } from '../fleet/reservation.js';
import type { Catalog, Demand, FinalRecord, JobSpec } from '../jobs/model.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { EffectivePriority, Readiness } from '../pipelines/graph.js';
import type { Settings } from '../settings/schema.js';
import type { Command } from '../workers/model.js';
import type { DirectResult } from '../workers/worker-client.js';
import type { TeamLimit, TeamUsage } from './team-limits.js';
import type { SteadyClock, ValueLimits, WallClock } from './ports.js';
import type { Objectives } from './urgency.js';

/** What the settings say. */
export interface ShardSettings {
  readonly shardOfTeam: ReadonlyMap<string, number>;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  /** s: a worker's lease, the time between its reports, and the time by which a cancelled task is gone. */
  readonly workers: Pick<Settings['facts']['workers'], 'lease_s' | 'report_s' | 'cancel_s'>;
  /** Fraction of a core that this process may use. */
  readonly coreFraction: number;
}

/** The machine types on offer, and what is known of their use. */
export interface MachineTypes {
  /** Null: not known yet. */
  readonly catalog: () => Catalog | null;
  /**
   * The most that one task takes of the jobs, of any shard, that may not use spot machines and fit no other
   * type.
   */
  readonly scarceDemand: (type: string) => Demand | null;
  /** Some class misses every start target if a machine of this type has to be booted for it. */
  readonly isBootBound: (type: string) => boolean;
}

/** Sends commands to a worker outside the answers to its heartbeats. */
export interface CommandSender {
  readonly sendCommands: (
    addr: string,
    token: number,
    agentEpoch: number,
    commands: readonly Command[],
  ) => Promise<DirectResult>;
}

/** Releases machines at the cloud at once, without a record of it. */
export interface UrgentRelease {
  /** True: the machines are gone. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
}

/** Where a job stands among those that it depends on, and whom its end is told to. */
export interface JobDependencies {
  readonly readiness: (job: string) => Readiness;
  readonly effectivePriority: (job: string) => EffectivePriority | null;
  /** A job's final record is durable. */
  readonly onFinalRecord: (job: string, final: FinalRecord) => void;
}

/** What the shard hears from the leader and the other shards, and tells them. */
export interface ControllerPorts {
  /** May this controller act for the shard now, under this very claim? */
  readonly mayAct: () => boolean;
  /** Has another shard a free machine that would do for this job? */
  readonly spareElsewhere: (shardId: number, spec: JobSpec) => boolean;
  /** Machines that the leader keeps free for gangs. */
  readonly reservations: () => readonly Reservation[];
  /** The duty of cleaning up this shard's orphaned keys; null: it is done without tombstones. */
  readonly cleanUpDuty: Duty | null;
  /** The shard's runs are read: its duties begin. */
  readonly onLoaded: () => void;
  /** Something changed that the leader waits for. */
  readonly notifyLeader: () => void;
}

/** What a shard needs of the rest of the controller. */
export interface ShardContext
  extends
    ShardSettings,
    MachineTypes,
    CommandSender,
    UrgentRelease,
    JobDependencies,
    ControllerPorts,
    SteadyClock,
    WallClock,
    ValueLimits {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  /** ms of processor time that this process has used. */
  readonly processorMs: () => number;
}
