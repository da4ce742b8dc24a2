/**
 * Reconciliation: what a report means for the tasks that are bound to its machine, and what the worker is
 * told. Pure, without state: placement applies the changes and sends the commands.
 *
 * Apart from direct ones, commands travel in answers to reports, and a worker that sends a new report has the
 * answer to the one before, or dropped it: so a task missing from a newer report is not there, and no `run`
 * of it is under way.
 */
import {
  FORGET_COMMAND_BATCH_SIZE,
  MAX_FORGET_COMMAND_DELAY_MS,
  STOP_GRACE_OVERRUN_MS,
} from '../constants/workers.js';
import { isOnMachine, type GoneEvidence, type PhaseEvent } from '../placement/attempt-phase.js';
import { bindingKey, type Binding, type ShardMachine } from '../placement/shard-model.js';
import type { Command, ReportedTask, TaskAttempt, WorkerHeartbeat } from './model.js';

/** What a report means for one task. */
export interface PhaseChange {
  readonly binding: Binding;
  readonly event: PhaseEvent;
}

const attemptKey = ({ job, index, attempt }: TaskAttempt): string => bindingKey(job, index, attempt);

/**
 * Did the worker begin a new session that commands of earlier ones can't reach? Our commands name the session
 * they are for. Those of an earlier holder may not, until the worker has seen our token.
 */
const isNewSession = (machine: ShardMachine, heartbeat: WorkerHeartbeat, underToken: boolean): boolean =>
  machine.answeredAt !== null &&
  heartbeat.agentEpoch > machine.agentEpoch &&
  (underToken || machine.everConfirmedToken);

/** Has a direct answer told more about the task than this report, which it overtook? */
const isOvertaken = ({ lastSeen }: Binding, heartbeat: WorkerHeartbeat): boolean =>
  lastSeen !== null &&
  (lastSeen.agentEpoch > heartbeat.agentEpoch ||
    (lastSeen.agentEpoch === heartbeat.agentEpoch && lastSeen.sequenceNumber > heartbeat.sequenceNumber));

/** Is a task gone that a report doesn't show? One that never showed may not have arrived yet. */
const isGone = ({ phase, stop }: Binding, newSession: boolean): boolean => {
  if (isOnMachine(phase)) return true;
  // A machine that began a new session may not reach us at all: what it never took up goes elsewhere.
  return phase._tag === 'bound' && (stop !== null || newSession);
};

/**
 * The changes that a report shows.
 *
 * @param underToken - The worker has said that it saw our current token, so that nothing of an earlier holder
 *   can reach it any more.
 * @param mayBeLate - Can a direct `run` of this attempt still arrive, since the worker has not seen a token
 *   above the one that it carried? Then absence proves nothing.
 */
export const detectPhaseChanges = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  underToken: boolean,
  mayBeLate: (key: string) => boolean,
): readonly PhaseChange[] => {
  const changes: PhaseChange[] = [];
  const newSession = isNewSession(machine, heartbeat, underToken);
  const how: GoneEvidence = newSession ? { _tag: 'newSession' } : { _tag: 'absent' };
  const reported = new Map(heartbeat.tasks.map((task) => [attemptKey(task), task]));
  for (const [key, binding] of machine.bound) {
    if (isOvertaken(binding, heartbeat)) continue;
    const task = reported.get(key);
    if (task) {
      changes.push({ binding, event: { _tag: 'reported', state: task.state } });
      continue;
    }
    const absenceProves = newSession || (underToken && !mayBeLate(key));
    if (absenceProves && isGone(binding, newSession)) changes.push({ binding, event: { _tag: 'lost', how } });
  }
  return changes;
};

const attemptOf = ({ job, index, attempt }: TaskAttempt): TaskAttempt => ({
  job,
  index,
  attempt,
});

/** The `stop` for a task that shows and has not exited; null: it may go on, or is stopping already. */
const stopCommandFor = (task: ReportedTask, binding: Binding | undefined, now: number): Command | null => {
  if (!binding) return { _tag: 'stop', ...attemptOf(task), graceS: 0 };
  if (!binding.stop) return null;
  const { since, graceS } = binding.stop;
  const overdue = now - since > graceS * 1_000 + STOP_GRACE_OVERRUN_MS;
  if (task.state._tag === 'saving' && !overdue && graceS !== 0) return null;
  return { _tag: 'stop', ...attemptOf(task), graceS: overdue ? 0 : graceS };
};

/** Each makes the worker report anew, so they go with other commands or several at once, within bounds. */
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
 * The commands in the answer to a report, after its changes are applied.
 *
 * @param underToken - As for `readChanges`.
 * @param settled - Does the store no longer bind this attempt to this machine, so that a later holder won't
 *   start it again once it is forgotten?
 * @param now - The steady clock, ms.
 */
export const answerCommands = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  underToken: boolean,
  settled: (key: string, job: string, index: number) => boolean,
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
      if (!binding && underToken && settled(key, task.job, task.index))
        forgets.push({ _tag: 'forget', ...attemptOf(task) });
      continue;
    }
    const stop = stopCommandFor(task, binding, now);
    if (stop) commands.push(stop);
  }
  for (const [key, binding] of machine.bound) {
    if (reported.has(key) || binding.phase._tag !== 'bound' || binding.stop) continue;
    commands.push({ _tag: 'run', ...attemptOf(binding) });
  }
  return canDeferForgets(machine, commands, forgets, now) ? commands : [...commands, ...forgets];
};
