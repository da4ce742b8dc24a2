/**
 * The unmet demand of all shards, in the order in which the scaling plan serves it. Pure functions; the
 * planner builds one queue per round.
 */
import type { ScalingPlanInput } from './scaling-model.js';
import type { ShardSummary, UnmetDemand, WaitingGang } from './shard-summary.js';
import { tasksOnMachine } from './spare-pools.js';

/** One job for which machines are to be found as a whole. */
export interface JobDemand {
  readonly shardId: number;
  readonly demand: UnmetDemand;
  readonly job: WaitingGang;
  /**
   * Number of tasks that the shard has capacity for, by zone, including machines in transfer to it. The gangs
   * of one demand share this object; planning a gang subtracts the capacity that the gang uses.
   */
  readonly zoneCapacity: Record<string, number>;
}

/** All tasks of one demand, in any zone that the demand allows. */
export interface TasksDemand {
  readonly shardId: number;
  readonly demand: UnmetDemand;
}

/** An entry of the queue. */
export type QueuedDemand = { readonly waitedMs: number } & (
  | ({ readonly _tag: 'oneZoneGang' } & JobDemand)
  /** A job other than a one-zone gang, which may need a reservation to start. */
  | ({ readonly _tag: 'waitingJob' } & JobDemand)
  | ({ readonly _tag: 'tasks' } & TasksDemand)
);

type QueueInput = Pick<ScalingPlanInput, 'summaries' | 'catalog' | 'pendingTransfers' | 'reservations'>;

const capacityWithTransfers = (
  shardId: number,
  demand: UnmetDemand,
  { catalog, pendingTransfers }: QueueInput,
): Record<string, number> => {
  const capacity: Record<string, number> = { ...demand.zoneCapacity };
  for (const { to, zone, spot, type: typeName } of pendingTransfers) {
    const type = catalog.get(typeName);
    if (to !== shardId || !type) continue;
    capacity[zone] = (capacity[zone] ?? 0) + tasksOnMachine(demand, { type, zone, spot });
  }
  return capacity;
};

const entriesOf = (
  { shardId }: ShardSummary,
  demand: UnmetDemand,
  input: QueueInput,
): readonly QueuedDemand[] => {
  const zoneCapacity = capacityWithTransfers(shardId, demand, input);
  const { gangs } = demand;
  if (demand.gang && demand.oneZone)
    return gangs.map((job) => ({
      _tag: 'oneZoneGang',
      shardId,
      demand,
      job,
      zoneCapacity,
      waitedMs: job.waitedMs,
    }));
  return [
    { _tag: 'tasks', shardId, demand, waitedMs: demand.waitedMs },
    ...gangs.map((job): QueuedDemand => ({
      _tag: 'waitingJob',
      shardId,
      demand,
      // A job other than a gang can start with one task.
      job: demand.gang ? job : { ...job, tasks: 1 },
      zoneCapacity,
      waitedMs: job.waitedMs,
    })),
  ];
};

/** Builds the queue: by priority, then jobs that already have a reservation, then the longest wait. */
export const queueDemand = (input: QueueInput): readonly QueuedDemand[] => {
  const queue: QueuedDemand[] = [];
  for (const summary of input.summaries)
    for (const demand of summary.needs) queue.push(...entriesOf(summary, demand, input));
  const reservedJobs = new Set(input.reservations.map(({ job }) => job));
  // Without this rule, two jobs would take the gathered machines from each other in turn.
  const isReserved = (entry: QueuedDemand): number =>
    Number(entry._tag !== 'tasks' && reservedJobs.has(entry.job.job));
  return queue.sort(
    (a, b) =>
      b.demand.priority - a.demand.priority || isReserved(b) - isReserved(a) || b.waitedMs - a.waitedMs,
  );
};
