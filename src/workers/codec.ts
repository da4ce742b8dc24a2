import * as Schema from 'effect/Schema';
import * as Result from 'effect/Result';
import { parseTaskName, taskName } from '../jobs/codec.js';
import type { Command, ExitCause, Report, ReportedTask, TaskState } from './model.js';

/** The workers' wire words. */
const Head = Schema.Struct({
  head: Schema.String,
  try: Schema.Int,
  status: Schema.String,
  cause: Schema.optional(Schema.NullOr(Schema.String)),
  saved: Schema.optional(Schema.NullOr(Schema.Boolean)),
});
const Hello = Schema.Struct({
  drover: Schema.String,
  addr: Schema.String,
  breed: Schema.String,
  paddock: Schema.String,
  agistment: Schema.Boolean,
  stint: Schema.Int,
  tally: Schema.Int,
  crook: Schema.Int,
  warningS: Schema.optional(Schema.NullOr(Schema.Finite)),
  heads: Schema.Array(Head),
});
const decodeHello = Schema.decodeUnknownResult(Hello);

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

const readState = (head: typeof Head.Type): TaskState => {
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

export const readReport = (value: unknown): Report | null => {
  const result = decodeHello(value);
  if (!Result.isSuccess(result)) return null;
  const hello = result.success;
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
    session: hello.stint,
    seq: hello.tally,
    token: hello.crook,
    noticeS: hello.warningS ?? null,
    tasks,
  };
};

export const writeCommand = (command: Command): unknown => {
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

export const writeOrders = (token: number, commands: readonly Command[]): unknown => ({
  crook: token,
  calls: commands.map(writeCommand),
});
