/**
 * Heartbeats of workers and commands to them, in the terms of this service. Plain data;
 * `src/workers/codec.ts` defines the wire form.
 */

/** Why a task is no longer running. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown';

/** The state of a task as its worker reports it. */
export type TaskState =
  | { readonly _tag: 'fetching' }
  | { readonly _tag: 'waiting' }
  | { readonly _tag: 'running' }
  | { readonly _tag: 'saving' }
  | { readonly _tag: 'exited'; readonly cause: ExitCause; readonly saved: boolean };

/** One attempt of a task. */
export interface TaskAttempt {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
}

/** One task in a worker heartbeat. */
export interface ReportedTask extends TaskAttempt {
  readonly state: TaskState;
}

/** The heartbeat of a worker. */
export interface WorkerHeartbeat {
  readonly machine: string;
  /** Address (`host:port`) at which the worker receives direct commands. */
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The agent epoch: number of the worker's session, which increases each time the worker starts. */
  readonly agentEpoch: number;
  /** Number of the heartbeat in its session. */
  readonly sequenceNumber: number;
  /** Highest fencing token that the worker has seen. */
  readonly token: number;
  /** Time until the cloud reclaims a spot machine, in s; null: no notice was given. */
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker. */
export type Command =
  | ({ readonly _tag: 'run' } & TaskAttempt)
  /** `graceS`: time in which the task may save its state, in s. */
  | ({ readonly _tag: 'stop'; readonly graceS: number } & TaskAttempt)
  /** The task's exit is recorded: the worker no longer needs to report it. */
  | ({ readonly _tag: 'forget' } & TaskAttempt);
