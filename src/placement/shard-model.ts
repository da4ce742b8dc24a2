/**
 * Types for the jobs, machines and bindings of a shard. No state: `ShardState` owns the objects, and the
 * comments below name the other classes that set a field.
 */
import type { Demand, JobSpec } from '../jobs/model.js';
import type { ReportedTask, TaskAttempt } from '../workers/model.js';
import type { Readiness } from '../pipelines/graph.js';
import type { Phase } from './attempt-phase.js';

/**
 * Why a task is stopped. `cancelled`: its job is cancelled. `broken`: its gang has lost a member, or answers
 * do not reach its worker. `evicted`: it is preempted. `draining`: the cloud is about to reclaim its machine.
 * `finished`: its gang has finished; such a stop is not sent directly.
 */
export type StopReason = 'cancelled' | 'broken' | 'evicted' | 'draining' | 'finished';

/** The decision to stop a task. */
export interface Stop {
  readonly reason: StopReason;
  /** s: how long the task may take to save its work. */
  readonly graceS: number;
  /** ms on the steady clock: when the stop was decided. */
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
  /** Position of the newest worker message that showed this attempt; null: none has. */
  lastSeen: { readonly agentEpoch: number; readonly sequenceNumber: number } | null;
  /** ms on the steady clock: when the binding was created. */
  readonly boundAt: number;
  /** ms on the steady clock: when a worker message first showed the attempt running; null: none has. */
  runningAt: number | null;
  /**
   * Number of answers to heartbeats that carried a `run` command for this attempt. The answers repeat the
   * command until the worker reports the attempt.
   */
  runCommandsSent: number;
}

/**
 * The known state of one stored run, which is a chunk of `TASKS_PER_RUN_RECORD` consecutive tasks of a job.
 */
export interface Chunk {
  /** Revision of the run's record in the key-value store; 0: no record is stored. */
  version: number;
  /** Number of parts that are stored beside the record. */
  parts: number;
  /** Keys of the attempts that the stored run binds. */
  durable: ReadonlySet<string>;
  /**
   * ms on the steady clock: since when the shard's state differs from the stored run; null: it does not
   * differ.
   */
  dirtySince: number | null;
}

/** A job of the shard, with its tasks. */
export interface ShardJob {
  /**
   * The spec that placement uses: as submitted, but with the priority and the deadline that result from the
   * jobs that depend on this job.
   */
  spec: JobSpec;
  /** The spec as the user submitted it. */
  readonly submittedSpec: JobSpec;
  /** ms since the epoch. */
  readonly submittedAt: number;
  /**
   * ms since the epoch: the start of the job's waiting time, which is when the job was submitted or, if
   * later, when the last job that it depends on was done.
   */
  waitingSince: number;
  /** Number of keys, besides the job's record, that hold the list of jobs it depends on. */
  readonly dependencyParts: number;
  readiness: Readiness;
  version: number;
  cancelled: boolean;
  /** ms since the epoch; null: not cancelled. */
  cancelledAt: number | null;
  readonly done: Set<number>;
  /** All tasks with a lower index are done. */
  firstUnfinished: number;
  readonly bindings: Map<number, Binding>;
  attempt: number;
  /** The attempt whose prepared runs the record of the job's first run makes valid; 0: none. */
  validAttempt: number;
  readonly chunks: Map<number, Chunk>;
  /** Machines on which tasks of this job failed. */
  readonly failedOn: Set<string>;
  failures: number;
  backoffUntil: number;
  /**
   * Whether a task of the job has completed on some machine, so that a later failure is not the job's fault.
   */
  hasCompletedTask: boolean;
  finishing: boolean;
  /**
   * Whether the job's record is deleted, which happens only in the transaction that writes its final record.
   */
  recordDeleted: boolean;
  /**
   * Whether the final record is written in a transaction of its own, because the job caused a conflict: in a
   * shared transaction it would hold up the other jobs for ever. Set by `FinalRecordWriter`.
   */
  finishSeparately: boolean;
  /**
   * Number of operations in progress that write the job's runs; no other write of the runs may start
   * meanwhile. Set by `RunWriter`.
   */
  writesInProgress: number;
}

/** Whether tasks may be placed on a machine, judged by the failures of earlier tasks. */
export type MachineHealth =
  | { readonly _tag: 'healthy' }
  /**
   * A task of `job` failed on the machine. No task is placed on it until it is clear whether the job or the
   * machine is at fault, or until the time `until` (ms on the steady clock).
   */
  | { readonly _tag: 'suspect'; readonly job: string; readonly until: number }
  /** No task is placed on the machine any more; it is released once nothing is bound to it. */
  | { readonly _tag: 'quarantined' };

/** Why a machine is released to the cloud; these texts are stored in its record and logged. */
export type ReleaseReason =
  /** A task of a cancelled job was not proven gone in time. */
  | 'cancelled and not gone'
  /** The machine is cordoned: an urgent release was requested, which may still be carried out. */
  | 'return was asked for'
  /**
   * This holder has never received a heartbeat from the machine, which has been silent for longer than a
   * lease and is not booting.
   */
  | 'never came up'
  /** The worker's lease has expired without a heartbeat. */
  | 'silent'
  /** A spot machine missed several heartbeats: most likely the cloud reclaimed it. */
  | 'spot silent'
  /** The worker sends heartbeats but does not confirm the token: answers do not reach it. */
  | 'does not hear'
  /** The machine is quarantined, and nothing is bound to it. */
  | 'sick'
  /** The machine has been idle for longer than its hold time. */
  | 'idle';

/**
 * What is known of a direct `run` command. `pending`: its answer is awaited. `unanswered`: no answer came in
 * time, so the worker may have executed it, or may do so later. `executed`: the worker has executed it.
 */
export type DirectRunOutcome = 'pending' | 'unanswered' | 'executed';

/** A direct `run` command of which the worker may still execute a copy. */
export interface DirectRun extends TaskAttempt {
  /** The token that the command carries: a worker that has seen a higher one refuses it. */
  readonly token: number;
  /** The worker's session that the command names: a worker in a later one refuses it. */
  readonly agentEpoch: number;
  outcome: DirectRunOutcome;
}

/** A machine of the shard, with the contents of its worker's last heartbeat. */
export interface ShardMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Revision of the machine's record, which assigns the machine to this shard. */
  version: number;
  /** ms since the epoch: when the machine was first recorded. */
  readonly recordedAt: number;
  /**
   * Whether the release of the machine is requested, or a write of its record is in progress; nothing is
   * placed on the machine.
   */
  releasing: boolean;
  /**
   * Whether an urgent release was requested without a durable intent, which is written afterwards; nothing is
   * placed on the machine, nor is it transferred.
   */
  cordoned: boolean;
  addr: string;
  agentEpoch: number;
  sequenceNumber: number;
  /**
   * The token of this holder that the last heartbeat or the response to an announced token named; 0: it named
   * none.
   */
  confirmedToken: number;
  /**
   * The highest token that this holder raised the machine to without a write; 0: none. See `WorkerTokens`.
   */
  raisedToken: number;
  /**
   * Whether the worker has ever reported a token of this holder, so that no command of an earlier holder can
   * reach it.
   */
  everConfirmedToken: boolean;
  /** ms on the steady clock: when the machine was added to this shard under this holder. */
  readonly addedAt: number;
  /**
   * ms on the steady clock: since when the worker's heartbeats do not name a token of this holder, so that
   * answers may not reach it; null: the last one named one, or none was received.
   */
  unconfirmedSince: number | null;
  /**
   * ms on the steady clock: when this holder received the last heartbeat that it answered 200, or the
   * response that confirmed an announced token; null: never.
   */
  answeredAt: number | null;
  /**
   * ms on the steady clock: when a heartbeat first reported the cloud's notice that it reclaims the machine;
   * null: none has.
   */
  reclaimNoticeAt: number | null;
  /** s until the cloud reclaims the machine, as last reported; null: no notice. */
  reclaimNoticeS: number | null;
  /**
   * Direct `run` commands that the worker does not refuse yet, by attempt. A copy of one has no effect while
   * the worker holds the attempt, and starts the attempt again once the worker has forgotten it.
   */
  readonly directRuns: Map<string, DirectRun>;
  /**
   * Whether the machine's record is to be rewritten in order to raise the token: a worker that has seen a
   * higher token executes no unanswered command.
   */
  needsHigherToken: boolean;
  /**
   * Number of heartbeats whose answers wait for a placement round. These answers carry the commands of the
   * round, so that no direct commands are needed.
   */
  pendingAnswers: number;
  reportedTasks: readonly ReportedTask[];
  /** ms on the steady clock: since when reported exits wait for the `forget` command; null: none do. */
  exitsPendingSince: number | null;
  readonly bound: Map<string, Binding>;
  readonly images: Set<string>;
  /** Set by `FailureAccounting`; `MachineLiveness` ends a suspicion once its time has passed. */
  health: MachineHealth;
  /** ms on the steady clock: since when the machine is idle; null: it is not idle. */
  idleSince: number | null;
  total: Demand;
  /** The free capacity, computed when it is needed; null: it must be computed again. */
  free: FreeCapacity | null;
}

/** The free capacity of a machine. */
export type FreeCapacity =
  | {
      readonly _tag: 'free';
      readonly cpus: number;
      readonly gpus: number;
      readonly memoryGb: number;
      /** The resources of the machine that are used by tasks which could run on other machine types. */
      readonly usedByFlexibleWork: Demand;
      /** Whether the machine holds a task that can run on no other machine type. */
      readonly hasDependentWork: boolean;
    }
  /** The machine holds a task whose size is not known. */
  | { readonly _tag: 'unclear' };

/** The key of one attempt of one task. */
export const bindingKey = (job: string, index: number, attempt: number): string =>
  `${job}/${index}#${attempt}`;

/** Whether all tasks of the job are done; a service is never finished. */
export const isFinished = (job: ShardJob): boolean =>
  job.spec.kind !== 'service' && job.done.size >= job.spec.tasks;
