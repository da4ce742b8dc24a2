import { parseTaskName, taskName } from '../jobs/codec.js';
import type { Command, ExitCause, WorkerHeartbeat, ReportedTask, TaskState } from './model.js';

/**
 * The workers' wire words. Reports are by far the most frequent message: they are checked by hand, since a
 * schema library took six times as long for each (docs/measurements.md).
 */
interface Head {
  readonly head: string;
  readonly try: number;
  readonly status: string;
  readonly cause?: string | null;
  readonly saved?: boolean | null;
}
interface Hello {
  readonly drover: string;
  readonly addr: string;
  readonly breed: string;
  readonly paddock: string;
  readonly agistment: boolean;
  readonly stint: number;
  readonly tally: number;
  readonly crook: number;
  readonly warningS?: number | null;
  readonly heads: readonly Head[];
}

const isMap = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isText = (value: unknown): value is string => typeof value === 'string';
const isOptional = (value: unknown, type: 'string' | 'boolean' | 'number'): boolean =>
  value === undefined || value === null || typeof value === type;

const isHead = (value: unknown): value is Head =>
  isMap(value) &&
  isText(value['head']) &&
  Number.isInteger(value['try']) &&
  isText(value['status']) &&
  isOptional(value['cause'], 'string') &&
  isOptional(value['saved'], 'boolean');

const isHello = (value: unknown): value is Hello =>
  isMap(value) &&
  isText(value['drover']) &&
  isText(value['addr']) &&
  isText(value['breed']) &&
  isText(value['paddock']) &&
  typeof value['agistment'] === 'boolean' &&
  Number.isInteger(value['stint']) &&
  Number.isInteger(value['tally']) &&
  Number.isInteger(value['crook']) &&
  isOptional(value['warningS'], 'number') &&
  Array.isArray(value['heads']) &&
  value['heads'].every(isHead);

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

const readState = (head: Head): TaskState => {
  switch (head.status) {
    case 'pulling':
      return { _tag: 'fetching' };
    case 'gathering':
      return { _tag: 'waiting' };
    case 'saving':
      return { _tag: 'saving' };
    case 'exited':
      return { _tag: 'exited', cause: CAUSES[head.cause ?? ''] ?? 'error', saved: head.saved === true };
    // A state that we don't know still occupies its machine: it counts as running.
    default:
      return { _tag: 'running' };
  }
};

/** Reads a worker's report; null: malformed. */
export const readWorkerHeartbeat = (value: unknown): WorkerHeartbeat | null => {
  if (!isHello(value)) return null;
  const hello = value;
  const tasks: ReportedTask[] = [];
  for (const head of hello.heads) {
    const name = parseTaskName(head.head);
    if (name) tasks.push({ ...name, attempt: head.try, state: readState(head) });
  }
  return {
    machine: hello.drover,
    addr: hello.addr,
    type: hello.breed,
    zone: hello.paddock,
    spot: hello.agistment,
    agentEpoch: hello.stint,
    sequenceNumber: hello.tally,
    token: hello.crook,
    noticeS: hello.warningS ?? null,
    tasks,
  };
};

/** One command as the worker expects it. */
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

/** The answer to a report. */
export const writeOrders = (token: number, commands: readonly Command[]): unknown => ({
  crook: token,
  calls: commands.map(writeCommand),
});

/** Sends a worker to the controller that answers for it; undefined: that one is not known. */
export const writeRedirect = (holder: string | undefined): unknown =>
  holder === undefined ? {} : { boss: holder };

/** Reads where a worker is sent; undefined: nowhere. */
export const readRedirect = (body: unknown): string | undefined => (body as { boss?: string }).boss;
