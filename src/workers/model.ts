/** What workers say and are told, in the field's terms. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown';

/** The state of a task as its worker reports it. */
export type TaskState =
  | { readonly _tag: 'fetching' }
  | { readonly _tag: 'waiting' }
  | { readonly _tag: 'running' }
  | { readonly _tag: 'saving' }
  | { readonly _tag: 'exited'; readonly cause: ExitCause; readonly saved: boolean };

/** One task of a report. */
export interface ReportedTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
}

/** A worker's report. */
export interface WorkerHeartbeat {
  readonly machine: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequenceNumber: number;
  /** Highest token the worker has seen. */
  readonly token: number;
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker. */
export type Command =
  | { readonly _tag: 'run'; readonly job: string; readonly index: number; readonly attempt: number }
  | {
      readonly _tag: 'stop';
      readonly job: string;
      readonly index: number;
      readonly attempt: number;
      readonly graceS: number;
    }
  | { readonly _tag: 'forget'; readonly job: string; readonly index: number; readonly attempt: number };
