/**
 * The interfaces through which a shard uses the rest of the controller. No state; the controller builds one
 * `ShardContext` for each claim.
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

/** Values from the settings. */
export interface ShardSettings {
  readonly shardOfTeam: ReadonlyMap<string, number>;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  /**
   * s: a worker's lease, the interval between its heartbeats, and the time by which a cancelled task must be
   * gone.
   */
  readonly workers: Pick<Settings['facts']['workers'], 'lease_s' | 'report_s' | 'cancel_s'>;
  /** Fraction of a core that this process may use. */
  readonly coreFraction: number;
}

/** The catalog of machine types, and how the jobs depend on the types. */
export interface MachineTypes {
  /** The catalog; null: not known yet. */
  readonly catalog: () => Catalog | null;
  /**
   * The largest amount of each resource that one task takes, among the jobs of all shards that may not use
   * spot machines and fit no other type; null: there is no such job.
   */
  readonly scarceDemand: (type: string) => Demand | null;
  /** Whether some job class misses every start target if a machine of this type has to be booted for it. */
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

/** Releases machines to the cloud at once, without a durable intent. */
export interface UrgentRelease {
  /** Resolves to true if the machines are gone. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
}

/** The dependencies between jobs, and the notification of the end of a job. */
export interface JobDependencies {
  readonly readiness: (job: string) => Readiness;
  readonly effectivePriority: (job: string) => EffectivePriority | null;
  /** Called when a job's final record is durable. */
  readonly onFinalRecord: (job: string, final: FinalRecord) => void;
}

/** The shard's connection to the leader, the other shards and its duties. */
export interface ControllerPorts {
  /** Whether this controller may act for the shard now, under this claim. */
  readonly mayAct: () => boolean;
  /** Whether another shard has a free machine that suits this job. */
  readonly spareElsewhere: (shardId: number, spec: JobSpec) => boolean;
  /** Machines that the leader keeps free for gangs. */
  readonly reservations: () => readonly Reservation[];
  /**
   * The duty to clean up this shard's orphaned keys; null: fencing is off, and the keys are removed without
   * tombstones.
   */
  readonly cleanUpDuty: Duty | null;
  /** Called when the shard's state has been loaded, so that its duties begin. */
  readonly onLoaded: () => void;
  /** Notifies the leader of a change that it waits for. */
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
