/**
 * Which direct `run` commands a worker may still execute. A direct command may arrive late, and a copy of it
 * more than once, as long as its token and its session match. While the worker holds the attempt, also an
 * exited one, a copy has no effect; once it has dropped the attempt, a copy starts it again. Functions on
 * `ShardMachine.directRuns`, no state of their own; `DirectCommands` and `WorkerSessions` call them.
 */
import type { Command, TaskAttempt, WorkerHeartbeat } from '../workers/model.js';
import { bindingKey, type DirectRun, type ShardMachine } from './shard-model.js';

const keyOf = ({ job, index, attempt }: TaskAttempt): string => bindingKey(job, index, attempt);

/** Records a `run` command that is being sent. */
export const recordDirectRun = (
  machine: ShardMachine,
  { job, index, attempt }: TaskAttempt,
  token: number,
): DirectRun => {
  const run: DirectRun = { job, index, attempt, token, agentEpoch: machine.agentEpoch, outcome: 'pending' };
  machine.directRuns.set(keyOf(run), run);
  return run;
};

/** Removes a command that the worker refused, unless a later one for the same attempt has replaced it. */
export const removeDirectRun = (machine: ShardMachine, run: DirectRun): void => {
  const key = keyOf(run);
  if (machine.directRuns.get(key) === run) machine.directRuns.delete(key);
};

/**
 * Removes the commands that the worker refuses for good: it has seen a higher token, or has begun a later
 * session.
 */
export const removeRefusedRuns = (
  machine: ShardMachine,
  { token, agentEpoch }: Pick<WorkerHeartbeat, 'token' | 'agentEpoch'>,
): void => {
  for (const [key, run] of machine.directRuns)
    if (token > run.token || agentEpoch > run.agentEpoch) machine.directRuns.delete(key);
};

/** Whether the worker may not have executed a direct `run` of this attempt yet, but still may. */
export const mayStartLate = (machine: ShardMachine, attemptKey: string): boolean => {
  const run = machine.directRuns.get(attemptKey);
  return run !== undefined && run.outcome !== 'executed';
};

/** The highest token of the direct `run` commands of other attempts of the same task; 0: there are none. */
const tokenOfOtherAttempts = (machine: ShardMachine, { job, index, attempt }: TaskAttempt): number => {
  let token = 0;
  for (const run of machine.directRuns.values())
    if (run.index === index && run.job === job && run.attempt !== attempt) token = Math.max(token, run.token);
  return token;
};

/**
 * The token that a command must exceed, so that the worker refuses each copy of the direct `run` commands
 * whose attempts it may drop when it executes the command; 0: it drops none. A worker drops an attempt that
 * it is told to forget, and may drop an exited attempt for another one of the same task.
 */
export const tokenToExceed = (machine: ShardMachine, command: Command): number => {
  switch (command._tag) {
    case 'forget':
      return machine.directRuns.get(keyOf(command))?.token ?? 0;
    case 'run':
      return tokenOfOtherAttempts(machine, command);
    case 'stop':
      return 0;
  }
};

const someRun = (machine: ShardMachine, matches: (run: DirectRun) => boolean): boolean => {
  for (const run of machine.directRuns.values()) if (matches(run)) return true;
  return false;
};

/** Whether the answer to a direct `run` is awaited. */
export const hasPendingRuns = (machine: ShardMachine): boolean =>
  someRun(machine, (run) => run.outcome === 'pending');

/** Whether the worker may start a task that it does not hold, because of a direct `run` without an answer. */
export const hasUnansweredRuns = (machine: ShardMachine): boolean =>
  someRun(machine, (run) => run.outcome !== 'executed');
