/**
 * Reconciliation of the tasks bound to a machine with a heartbeat of its worker: which phases change, and
 * which commands the worker receives. Pure functions, no state: placement applies the changes and sends the
 * commands.
 *
 * Commands, except direct ones, are sent in answers to heartbeats. A worker that sends a new heartbeat has
 * received the answer to the previous one or dropped it. So a task that is missing from a newer heartbeat is
 * not on the machine, and no `run` of it is in transit.
 */
import {
  FORGET_COMMAND_BATCH_SIZE,
  MAX_FORGET_COMMAND_DELAY_MS,
  STOP_GRACE_OVERRUN_MS,
} from '../constants/workers.js';
import { isOnMachine, type GoneEvidence, type PhaseEvent } from '../placement/attempt-phase.js';
import { bindingKey, type Binding, type ShardMachine } from '../placement/shard-model.js';
import type { Command, ReportedTask, TaskAttempt, WorkerHeartbeat } from './model.js';

/** The event that a heartbeat implies for the phase of one task. */
export interface PhaseChange {
  readonly binding: Binding;
  readonly event: PhaseEvent;
}

const attemptKey = ({ job, index, attempt }: TaskAttempt): string => bindingKey(job, index, attempt);

/**
 * Whether the worker has begun a new session that commands for earlier sessions can't reach. The commands of
 * the current holder name the session that they were sent to. A command of an earlier holder may name the new
 * session, until the worker has seen a token of the current holder.
 */
const isNewSession = (machine: ShardMachine, heartbeat: WorkerHeartbeat, tokenConfirmed: boolean): boolean =>
  machine.answeredAt !== null &&
  heartbeat.agentEpoch > machine.agentEpoch &&
  (tokenConfirmed || machine.everConfirmedToken);

/** Whether a newer heartbeat, from the answer to a direct command, has already shown the task. */
const isOvertaken = ({ lastSeen }: Binding, heartbeat: WorkerHeartbeat): boolean =>
  lastSeen !== null &&
  (lastSeen.agentEpoch > heartbeat.agentEpoch ||
    (lastSeen.agentEpoch === heartbeat.agentEpoch && lastSeen.sequenceNumber > heartbeat.sequenceNumber));

/**
 * Whether a task that a heartbeat doesn't show is gone. The `run` of a task that no heartbeat has shown may
 * not have arrived yet.
 */
const isGone = ({ phase, stop }: Binding, newSession: boolean): boolean => {
  if (isOnMachine(phase)) return true;
  // An answer with the `run` may not have reached a worker that began a new session: a task that the
  // worker never started is placed elsewhere.
  return phase._tag === 'bound' && (stop !== null || newSession);
};

/**
 * Returns the phase changes that a heartbeat implies for the tasks bound to its machine.
 *
 * @param tokenConfirmed - Whether the worker has reported the current token of this holder, so that it
 *   refuses every command of an earlier holder.
 * @param mayArriveLate - Whether a direct `run` of this attempt may still be carried out, since the worker
 *   has not seen a token above the one that the command carried. Then the absence of the task proves nothing.
 */
export const detectPhaseChanges = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  tokenConfirmed: boolean,
  mayArriveLate: (key: string) => boolean,
): readonly PhaseChange[] => {
  const changes: PhaseChange[] = [];
  const newSession = isNewSession(machine, heartbeat, tokenConfirmed);
  const how: GoneEvidence = newSession ? { _tag: 'newSession' } : { _tag: 'absent' };
  const reported = new Map(heartbeat.tasks.map((task) => [attemptKey(task), task]));
  for (const [key, binding] of machine.bound) {
    if (isOvertaken(binding, heartbeat)) continue;
    const task = reported.get(key);
    if (task) {
      changes.push({ binding, event: { _tag: 'reported', state: task.state } });
      continue;
    }
    const absenceIsEvidence = newSession || (tokenConfirmed && !mayArriveLate(key));
    if (absenceIsEvidence && isGone(binding, newSession))
      changes.push({ binding, event: { _tag: 'lost', how } });
  }
  return changes;
};

const attemptOf = ({ job, index, attempt }: TaskAttempt): TaskAttempt => ({
  job,
  index,
  attempt,
});

/**
 * Returns the `stop` for a task that a heartbeat shows and that has not exited; null: the task may continue,
 * or is already saving its state within its grace.
 */
const stopCommandFor = (task: ReportedTask, binding: Binding | undefined, now: number): Command | null => {
  if (!binding) return { _tag: 'stop', ...attemptOf(task), graceS: 0 };
  if (!binding.stop) return null;
  const { since, graceS } = binding.stop;
  const overdue = now - since > graceS * 1_000 + STOP_GRACE_OVERRUN_MS;
  if (task.state._tag === 'saving' && !overdue && graceS !== 0) return null;
  return { _tag: 'stop', ...attemptOf(task), graceS: overdue ? 0 : graceS };
};

/**
 * Whether the `forget` commands may be sent with a later answer. An answer with a `forget` makes the worker
 * send another heartbeat, so `forget` commands are sent together with other commands, or once
 * `FORGET_COMMAND_BATCH_SIZE` of them are due, or `MAX_FORGET_COMMAND_DELAY_MS` after `exitsPendingSince`.
 */
const canDeferForgets = (
  { exitsPendingSince }: ShardMachine,
  commands: readonly Command[],
  forgets: readonly Command[],
  now: number,
): boolean =>
  commands.length === 0 &&
  forgets.length < FORGET_COMMAND_BATCH_SIZE &&
  (exitsPendingSince === null || now - exitsPendingSince < MAX_FORGET_COMMAND_DELAY_MS);

/**
 * Returns the commands in the answer to a heartbeat whose changes have been applied.
 *
 * @param tokenConfirmed - As for `detectPhaseChanges`.
 * @param canFence - Whether the answer may carry a token under which the worker refuses each copy of the
 *   direct `run` commands whose attempts it drops when it executes this command.
 * @param mayForget - Whether the key-value store no longer binds this attempt to this machine, so that a
 *   later holder does not start the attempt again after the worker has forgotten it.
 * @param now - The steady clock, ms.
 */
export const answerCommands = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  tokenConfirmed: boolean,
  canFence: (command: Command) => boolean,
  mayForget: (key: string, job: string, index: number) => boolean,
  now: number,
): readonly Command[] => {
  const commands: Command[] = [];
  const forgets: Command[] = [];
  const reported = new Set<string>();
  for (const task of heartbeat.tasks) {
    const key = attemptKey(task);
    reported.add(key);
    const binding = machine.bound.get(key);
    if (task.state._tag === 'exited') {
      const forget: Command = { _tag: 'forget', ...attemptOf(task) };
      if (!binding && tokenConfirmed && mayForget(key, task.job, task.index) && canFence(forget))
        forgets.push(forget);
      continue;
    }
    const stop = stopCommandFor(task, binding, now);
    if (stop) commands.push(stop);
  }
  for (const [key, binding] of machine.bound) {
    if (reported.has(key) || binding.phase._tag !== 'bound' || binding.stop) continue;
    const run: Command = { _tag: 'run', ...attemptOf(binding) };
    if (canFence(run)) commands.push(run);
  }
  return canDeferForgets(machine, commands, forgets, now) ? commands : [...commands, ...forgets];
};
