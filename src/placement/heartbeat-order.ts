/**
 * Orders the messages of a worker. No state of its own; `WorkerSessions` and `DirectCommands` call it.
 */
import type { WorkerHeartbeat } from '../workers/model.js';
import { bindingKey, type ShardMachine } from './shard-model.js';

/**
 * The position of a message of a worker: the number of the worker's session (`agentEpoch`), and the number of
 * the message within the session.
 */
export interface MessagePosition {
  readonly agentEpoch: number;
  readonly sequenceNumber: number;
}

/** Whether a message is later than another one of the same worker. */
export const isNewer = (message: MessagePosition, other: MessagePosition): boolean =>
  message.agentEpoch > other.agentEpoch ||
  (message.agentEpoch === other.agentEpoch && message.sequenceNumber > other.sequenceNumber);

/**
 * Records the position of a message in each binding that it shows, unless a newer message showed the binding.
 */
export const recordLastSeen = (machine: ShardMachine, heartbeat: WorkerHeartbeat): void => {
  for (const task of heartbeat.tasks) {
    const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
    if (!binding) continue;
    if (binding.lastSeen && !isNewer(heartbeat, binding.lastSeen)) continue;
    binding.lastSeen = { agentEpoch: heartbeat.agentEpoch, sequenceNumber: heartbeat.sequenceNumber };
  }
};
