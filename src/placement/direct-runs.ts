/**
 * Which direct `run` commands a worker may still execute. A direct command may arrive late, and a copy of it
 * more than once, as long as its token and its session match. While the worker holds the attempt, also an
 * exited one, a copy has no effect; once it has forgotten the attempt, a copy starts it again. Functions on
 * `ShardMachine.directRuns`, no state of their own; `DirectCommands` and `WorkerSessions` call them.
 */
import type { WorkerHeartbeat } from '../workers/model.js';
import type { DirectRun, ShardMachine } from './shard-model.js';

/** Records a `run` command that is being sent. */
export const recordDirectRun = (machine: ShardMachine, attemptKey: string, token: number): DirectRun => {
  const run: DirectRun = { token, agentEpoch: machine.agentEpoch, outcome: 'pending' };
  machine.directRuns.set(attemptKey, run);
  return run;
};

/** Removes a command that the worker refused, unless a later one for the same attempt has replaced it. */
export const removeDirectRun = (machine: ShardMachine, attemptKey: string, run: DirectRun): void => {
  if (machine.directRuns.get(attemptKey) === run) machine.directRuns.delete(attemptKey);
};

/**
 * Removes the commands that the worker refuses for good: it has seen a higher token, or has begun a later
 * session.
 */
export const removeRefusedRuns = (
  machine: ShardMachine,
  { token, agentEpoch }: Pick<WorkerHeartbeat, 'token' | 'agentEpoch'>,
): void => {
  for (const [attemptKey, run] of machine.directRuns)
    if (token > run.token || agentEpoch > run.agentEpoch) machine.directRuns.delete(attemptKey);
};

/** Whether the worker may not have executed a direct `run` of this attempt yet, but still may. */
export const mayStartLate = (machine: ShardMachine, attemptKey: string): boolean => {
  const run = machine.directRuns.get(attemptKey);
  return run !== undefined && run.outcome !== 'executed';
};

/** Whether a worker that has seen this token refuses every copy of a direct `run` of this attempt. */
export const isRunRefusedUnder = (token: number, machine: ShardMachine, attemptKey: string): boolean => {
  const run = machine.directRuns.get(attemptKey);
  return run === undefined || token > run.token;
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
