import { FORGET_BATCH_EXITS, MAX_FORGET_DELAY_MS, STOP_GRACE_OVERRUN_MS } from '../constants/workers.js';
import { bindingKey, type Binding, type ShardMachine } from '../placement/shard-model.js';
import { nextPhase, type Gone } from '../placement/attempt-phase.js';
import type { Command, WorkerHeartbeat } from './model.js';

/** What one report means for the tasks bound to its machine. Pure: the caller applies the changes. */
export interface Change {
  readonly binding: Binding;
  readonly event: Parameters<typeof nextPhase>[1];
}

/**
 * `late`: a direct `run` of this attempt may still arrive, since the worker has not seen a token above the
 * one that it carried; then absence proves nothing. `underToken`: the worker has said that it saw our current
 * token, so nothing of an earlier holder can still reach it. Apart from direct ones, commands travel in
 * answers to reports, and a worker that sends a new report has or dropped the answer to the one before: so a
 * task missing from a newer report is not there, and no `run` of it is under way.
 */
export const readChanges = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  underToken: boolean,
  late: (key: string) => boolean,
): readonly Change[] => {
  const changes: Change[] = [];
  // Commands of ours name the old session. Those of an earlier holder may not, until the worker has seen our
  // token.
  const newSession =
    machine.answeredAt !== null &&
    heartbeat.agentEpoch > machine.agentEpoch &&
    (underToken || machine.everConfirmedToken);
  const reported = new Map(
    heartbeat.tasks.map((task) => [bindingKey(task.job, task.index, task.attempt), task]),
  );
  for (const [key, binding] of machine.bound) {
    const task = reported.get(key);
    // A direct answer may have overtaken this report.
    const newer =
      binding.lastSeen !== null &&
      (binding.lastSeen.agentEpoch > heartbeat.agentEpoch ||
        (binding.lastSeen.agentEpoch === heartbeat.agentEpoch &&
          binding.lastSeen.sequenceNumber > heartbeat.sequenceNumber));
    if (newer) continue;
    if (task) changes.push({ binding, event: { _tag: 'reported', state: task.state } });
    else if (newSession || (underToken && !late(key))) {
      const how: Gone = newSession ? { _tag: 'newSession' } : { _tag: 'absent' };
      switch (binding.phase._tag) {
        case 'fetching':
        case 'waiting':
        case 'running':
        case 'saving':
          changes.push({ binding, event: { _tag: 'lost', how } });
          break;
        case 'bound':
          // A machine that began a new session may not hear us at all: what it never took up goes elsewhere.
          if (binding.stop || newSession) changes.push({ binding, event: { _tag: 'lost', how } });
          break;
        case 'binding':
        case 'gone':
          break;
      }
    }
  }
  return changes;
};

/**
 * The answer to a report, after its changes are applied. `settled`: the state service no longer binds this
 * attempt to this machine, so that a later holder won't start it again once it is forgotten.
 */
export const answer = (
  machine: ShardMachine,
  heartbeat: WorkerHeartbeat,
  underToken: boolean,
  settled: (key: string, job: string, index: number) => boolean,
  now: number,
): readonly Command[] => {
  const commands: Command[] = [];
  const forgets: Command[] = [];
  const seen = new Set<string>();
  for (const task of heartbeat.tasks) {
    const key = bindingKey(task.job, task.index, task.attempt);
    seen.add(key);
    const name = { job: task.job, index: task.index, attempt: task.attempt };
    const binding = machine.bound.get(key);
    if (task.state._tag === 'exited') {
      if (!binding && underToken && settled(key, task.job, task.index))
        forgets.push({ _tag: 'forget', ...name });
      continue;
    }
    if (!binding) {
      commands.push({ _tag: 'stop', ...name, graceS: 0 });
      continue;
    }
    if (!binding.stop) continue;
    const overdue = now - binding.stop.since > binding.stop.graceS * 1000 + STOP_GRACE_OVERRUN_MS;
    if (task.state._tag !== 'saving' || overdue || binding.stop.graceS === 0) {
      commands.push({ _tag: 'stop', ...name, graceS: overdue ? 0 : binding.stop.graceS });
    }
  }
  for (const [key, binding] of machine.bound) {
    if (seen.has(key) || binding.phase._tag !== 'bound' || binding.stop) continue;
    commands.push({ _tag: 'run', job: binding.job, index: binding.index, attempt: binding.attempt });
  }
  // Each makes the worker report anew, so they go with other commands or several at once, within bounds.
  const wait =
    commands.length === 0 &&
    forgets.length < FORGET_BATCH_EXITS &&
    (machine.exitsPendingSince === null || now - machine.exitsPendingSince < MAX_FORGET_DELAY_MS);
  return wait ? commands : [...commands, ...forgets];
};
