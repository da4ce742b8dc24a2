/**
 * What a shard knows of its jobs, machines and bindings. No state; `ShardState` owns the objects, and the
 * comments here say which other classes set a field.
 */
import type { Demand, JobSpec } from '../jobs/model.js';
import type { ReportedTask } from '../workers/model.js';
import type { Readiness } from '../pipelines/graph.js';
import type { Phase } from './attempt-phase.js';

/** Why tasks are being stopped; decides the grace and what happens to the job afterwards. */
export type StopReason = 'cancelled' | 'broken' | 'evicted' | 'draining' | 'finished';

/** An order to stop a task. */
export interface Stop {
  readonly reason: StopReason;
  readonly graceS: number;
  /** ms, when it was decided. */
  readonly since: number;
}

/** One attempt of one task bound to one machine. */
export interface Binding {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  phase: Phase;
  stop: Stop | null;
  /** The newest message of its machine that showed it. */
  lastSeen: { readonly agentEpoch: number; readonly sequenceNumber: number } | null;
  /** ms, when it was decided, and when it was first seen running. */
  readonly boundAt: number;
  runningAt: number | null;
  /** Answers that carried its `run` without a sign of it since. */
  runCommandsSent: number;
}

/** What is known of one stored run record. */
export interface Chunk {
  /** Revision of what the key-value store holds, 0: nothing; and in how many parts beside the record. */
  version: number;
  parts: number;
  /** Keys of the attempts that the stored run binds. */
  durable: ReadonlySet<string>;
  /** ms: since when what is known differs from what the key-value store holds; null: it does not. */
  dirtySince: number | null;
}

/** A job of the shard, with its tasks. */
export interface ShardJob {
  /**
   * As placement is to treat it: with the priority and the deadline that it has for the jobs that need it.
   */
  spec: JobSpec;
  /** As its user submitted it. */
  readonly submittedSpec: JobSpec;
  /** ms since the epoch. */
  readonly submittedAt: number;
  /**
   * ms since the epoch: from when its waiting counts, which is when the last job that it depends on was done.
   */
  waitingSince: number;
  /** Keys, besides its record, that hold the list of jobs it depends on. */
  readonly dependencyParts: number;
  readiness: Readiness;
  version: number;
  cancelled: boolean;
  /** ms since the epoch; null: not cancelled. */
  cancelledAt: number | null;
  readonly done: Set<number>;
  /** All tasks before this one are done. */
  firstUnfinished: number;
  readonly bindings: Map<number, Binding>;
  attempt: number;
  /** The attempt that its first run names as valid for runs that were prepared; 0: none. */
  validAttempt: number;
  readonly chunks: Map<number, Chunk>;
  /** Machines on which tasks of this job failed. */
  readonly failedOn: Set<string>;
  failures: number;
  backoffUntil: number;
  /** A task of it was completed somewhere, so that a failure is not the job's fault. */
  hasCompletedTask: boolean;
  finishing: boolean;
  /** Its record is deleted, which happens only together with the write of its final record. */
  recordDeleted: boolean;
  /**
   * Its final record failed in company: it is written alone, or it would hold up the others for ever. Set
   * by the writer of final records.
   */
  finishSeparately: boolean;
  /**
   * Transactions under way that write its runs; nothing else may write them meanwhile. Set by the run
   * writer.
   */
  writesInProgress: number;
}

/** Whether a machine can be trusted with tasks. */
export type MachineHealth =
  | { readonly _tag: 'healthy' }
  /** A task of `job` failed here; nothing new until it is clear whose fault that is. */
  | { readonly _tag: 'suspect'; readonly job: string; readonly until: number }
  /** Nothing is placed on it any more; it is released once nothing is bound to it. */
  | { readonly _tag: 'quarantined' };

/** Why a machine goes back to the cloud; these texts are stored in its record and logged. */
export type ReleaseReason =
  /** A task of a cancelled job is not proven gone in time. */
  | 'cancelled and not gone'
  /** It was cordoned for an urgent release, which may still be carried out. */
  | 'return was asked for'
  /** It was never heard from, for longer than a boot may take. */
  | 'never came up'
  /** Its lease has expired without a heartbeat. */
  | 'silent'
  /** A spot machine that missed several heartbeats: most likely the cloud took it back. */
  | 'spot silent'
  /** Its heartbeats come, and it does not take up the token: answers do not reach it. */
  | 'does not hear'
  /** It is quarantined, and nothing is bound to it. */
  | 'sick'
  /** It has been idle for longer than such a machine is held. */
  | 'idle';

/** A machine of the shard, with what its worker last said. */
export interface ShardMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Revision of the record that assigned it to this shard. */
  version: number;
  /** ms since the epoch, when it was first recorded. */
  readonly recordedAt: number;
  /** Asked to be released; nothing is placed on it. */
  releasing: boolean;
  /**
   * Its return was asked for without a durable intent, which follows: nothing is placed on it, nor is it
   * moved.
   */
  cordoned: boolean;
  addr: string;
  agentEpoch: number;
  sequenceNumber: number;
  /** The current token, once a heartbeat of this session named it; 0: not yet. */
  confirmedToken: number;
  /** It has reported a token of this holder at some time: no command of an earlier one can reach it. */
  everConfirmedToken: boolean;
  /** ms: when it came into this shard under this holder. */
  readonly addedAt: number;
  /**
   * ms: since when it reports without naming the current token, so that answers may not reach it; null: it
   * names it.
   */
  unconfirmedSince: number | null;
  /** ms: the last heartbeat that this holder answered 200; null: none. */
  answeredAt: number | null;
  /** ms: when the cloud's notice that it takes the machine back was first reported; null: none. */
  reclaimNoticeAt: number | null;
  /** s until the machine is taken back, as last reported; null: no notice. */
  reclaimNoticeS: number | null;
  /**
   * Direct `run`s of unknown outcome, with the token they carried: such a command may still be carried out
   * until the worker has seen a higher token.
   */
  readonly unacknowledgedRuns: Map<string, number>;
  /**
   * Its record is to be rewritten, for a higher token, under which no unacknowledged command is carried
   * out.
   */
  needsHigherToken: boolean;
  /** Heartbeats whose answer is held for a placement round: direct commands are not needed. */
  pendingAnswers: number;
  reportedTasks: readonly ReportedTask[];
  /** ms: since when exits on it wait to be forgotten; null: none do. */
  exitsPendingSince: number | null;
  readonly bound: Map<string, Binding>;
  readonly images: Set<string>;
  /** Set by the failure accounting; a suspicion ends with time, in `MachineLiveness`. */
  health: MachineHealth;
  /** ms; null: it is not idle. */
  idleSince: number | null;
  total: Demand;
  /** What is free on it, worked out when asked for; null: to be worked out again. */
  free: FreeCapacity | null;
}

/** Room on a machine. */
export type FreeCapacity =
  | {
      readonly _tag: 'free';
      readonly cpus: number;
      readonly gpus: number;
      readonly memoryGb: number;
      /** What work that has other types to go to takes of the machine. */
      readonly usedByFlexibleWork: Demand;
      /** Work that has no other type to go to is on it. */
      readonly hasDependentWork: boolean;
    }
  /** Something is on it whose size is not known. */
  | { readonly _tag: 'unclear' };

/** Names one attempt of one task. */
export const bindingKey = (job: string, index: number, attempt: number): string =>
  `${job}/${index}#${attempt}`;

/** Are all tasks of the job done? */
export const isFinished = (job: ShardJob): boolean =>
  job.spec.kind !== 'service' && job.done.size >= job.spec.tasks;
