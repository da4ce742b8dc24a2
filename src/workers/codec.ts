/**
 * The wire form of workers' reports and of the commands to them. Reports are by far the most frequent
 * message, so they are checked by hand.
 */
import { parseTaskName, taskName } from '../jobs/task-name.js';
import type { Command, ExitCause, WorkerHeartbeat, ReportedTask, TaskState } from './model.js';

interface WireTask {
  readonly head: string;
  readonly try: number;
  readonly status: string;
  readonly cause?: string | null;
  readonly saved?: boolean | null;
}

interface WireHeartbeat {
  readonly drover: string;
  readonly addr: string;
  readonly breed: string;
  readonly paddock: string;
  readonly agistment: boolean;
  readonly stint: number;
  readonly tally: number;
  readonly crook: number;
  readonly warningS?: number | null;
  readonly heads: readonly WireTask[];
}

const isMap = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isText = (value: unknown): value is string => typeof value === 'string';
const isOptional = (value: unknown, type: 'string' | 'boolean' | 'number'): boolean =>
  value === undefined || value === null || typeof value === type;

const isWireTask = (value: unknown): value is WireTask =>
  isMap(value) &&
  isText(value.head) &&
  Number.isInteger(value.try) &&
  isText(value.status) &&
  isOptional(value.cause, 'string') &&
  isOptional(value.saved, 'boolean');

const isWireHeartbeat = (value: unknown): value is WireHeartbeat =>
  isMap(value) &&
  isText(value.drover) &&
  isText(value.addr) &&
  isText(value.breed) &&
  isText(value.paddock) &&
  typeof value.agistment === 'boolean' &&
  Number.isInteger(value.stint) &&
  Number.isInteger(value.tally) &&
  Number.isInteger(value.crook) &&
  isOptional(value.warningS, 'number') &&
  Array.isArray(value.heads) &&
  value.heads.every(isWireTask);

/** Causes by the worker's words. */
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  no_room: 'noRoom',
  busy: 'busy',
  unknown: 'unknown',
};

const readState = ({ status, cause, saved }: WireTask): TaskState => {
  switch (status) {
    case 'pulling':
      return { _tag: 'fetching' };
    case 'gathering':
      return { _tag: 'waiting' };
    case 'saving':
      return { _tag: 'saving' };
    case 'exited':
      return { _tag: 'exited', cause: CAUSES[cause ?? ''] ?? 'error', saved: saved === true };
    // A task in a state of a later version still occupies its machine: it counts as running.
    default:
      return { _tag: 'running' };
  }
};

/** Reads a worker's report; null: malformed. */
export const readWorkerHeartbeat = (value: unknown): WorkerHeartbeat | null => {
  if (!isWireHeartbeat(value)) return null;
  const tasks: ReportedTask[] = [];
  for (const head of value.heads) {
    const name = parseTaskName(head.head);
    if (name) tasks.push({ ...name, attempt: head.try, state: readState(head) });
  }
  return {
    machine: value.drover,
    addr: value.addr,
    type: value.breed,
    zone: value.paddock,
    spot: value.agistment,
    agentEpoch: value.stint,
    sequenceNumber: value.tally,
    token: value.crook,
    noticeS: value.warningS ?? null,
    tasks,
  };
};

/** Writes one command. */
const writeCommand = (command: Command): unknown => {
  const head = taskName(command.job, command.index);
  switch (command._tag) {
    case 'run':
      return { call: 'run', head, try: command.attempt };
    case 'stop':
      return { call: 'stop', head, try: command.attempt, settleS: command.graceS };
    case 'forget':
      return { call: 'reap', head, try: command.attempt };
  }
};

/** Writes the answer to a report. */
export const writeCommands = (token: number, commands: readonly Command[]): object => ({
  crook: token,
  calls: commands.map(writeCommand),
});

/** Writes commands that are sent straight to one session of a worker. */
export const writeDirectCommands = (
  token: number,
  agentEpoch: number,
  commands: readonly Command[],
): object => ({ ...writeCommands(token, commands), stint: agentEpoch });

/**
 * Writes the answer that sends a worker to the controller that holds its shard; undefined: that one is not
 * known.
 */
export const writeRedirect = (holder: string | undefined): unknown =>
  holder === undefined ? {} : { boss: holder };

/** Reads where a worker is sent; undefined: nowhere. */
export const readRedirect = (body: unknown): string | undefined => (body as { boss?: string }).boss;
