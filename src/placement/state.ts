import type { Demand, JobSpec } from '../jobs/model.js';
import type { ReportedTask } from '../workers/model.js';
import type { Phase } from './task.js';

/** Why tasks are being stopped; decides the grace and what happens to the job afterwards. */
export type StopReason = 'cancelled' | 'broken' | 'evicted' | 'draining' | 'finished';

export interface Stop {
  readonly reason: StopReason;
  readonly graceS: number;
  /** ms, when it was decided. */
  readonly since: number;
}

export interface Binding {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
  phase: Phase;
  stop: Stop | null;
  /** The newest message of its machine that showed it. */
  seen: { readonly session: number; readonly seq: number } | null;
  /** ms, when it was decided, and when it was first seen running. */
  readonly boundAt: number;
  runningAt: number | null;
}

export interface Chunk {
  /** What the state service holds. */
  version: number;
  durable: ReadonlySet<string>;
  dirty: boolean;
}

export interface ShareJob {
  readonly spec: JobSpec;
  readonly at: number;
  version: number;
  cancelled: boolean;
  readonly done: Set<number>;
  /** All tasks before this one are done. */
  firstOpen: number;
  readonly bindings: Map<number, Binding>;
  attempt: number;
  readonly chunks: Map<number, Chunk>;
  /** Machines on which tasks of this job failed. */
  readonly failedOn: Set<string>;
  errors: number;
  backoffUntil: number;
  /** The job ran somewhere without failing at once. */
  proven: boolean;
  finishing: boolean;
}

export type Health =
  | { readonly _tag: 'fine' }
  /** A task of `job` failed here; nothing new until it is clear whose fault that is. */
  | { readonly _tag: 'suspect'; readonly job: string; readonly until: number }
  | { readonly _tag: 'sick' };

export interface ShareMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Revision of the record that assigned it to this share. */
  version: number;
  /** ms since the epoch, when it was first recorded. */
  readonly since: number;
  /** Asked to be released; nothing is placed on it. */
  releasing: boolean;
  cordoned: boolean;
  addr: string;
  session: number;
  seq: number;
  /** A report of this session named our current token. */
  confirmedToken: number;
  /** ms: when it came into this share under this holder. */
  readonly takenAt: number;
  /** ms: the last report that we answered 200; null: none by this holder. */
  answeredAt: number | null;
  noticeAt: number | null;
  noticeS: number | null;
  /**
   * Direct `run`s of unknown outcome, with the token they carried: such a command may still be carried out
   * until the worker has seen a higher token.
   */
  readonly unsureRuns: Map<string, number>;
  /** Its record is to be rewritten, for a higher token that ends what is unsure. */
  raiseToken: boolean;
  /** Reports whose answer is being held for a placement round: direct commands are not needed. */
  answering: number;
  reported: readonly ReportedTask[];
  readonly bound: Map<string, Binding>;
  readonly images: Set<string>;
  health: Health;
  idleSince: number | null;
  readonly total: Demand;
}

export const bindingKey = (job: string, index: number, attempt: number): string =>
  `${job}/${index}#${attempt}`;

export const isFinished = (job: ShareJob): boolean =>
  job.spec.kind !== 'service' && job.done.size >= job.spec.tasks;
