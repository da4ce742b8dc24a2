/**
 * The unmet demand of all shards in the order in which the scaling plan serves it. Pure, without state;
 * called once a round.
 */
import type { ScalingPlanInput } from './scaling-model.js';
import type { ShardSummary, UnmetDemand, WaitingGang } from './shard-summary.js';
import { tasksOnMachine } from './spare-pools.js';

/** One job that machines are to be found for as a whole. */
export interface JobDemand {
  readonly shardId: number;
  readonly demand: UnmetDemand;
  readonly job: WaitingGang;
  /**
   * Tasks that the shard has capacity for, by zone, machines on their way included. The gangs of one demand
   * share it, and each takes its part as it is planned for.
   */
  readonly zoneCapacity: Record<string, number>;
}

/** All tasks of one demand, wherever they run. */
export interface TasksDemand {
  readonly shardId: number;
  readonly demand: UnmetDemand;
}

/** An entry of the queue. */
export type QueuedDemand = { readonly waitedMs: number } & (
  | ({ readonly _tag: 'oneZoneGang' } & JobDemand)
  /** A job that may run anywhere, and may need a reservation to begin. */
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
      // A job that is no gang begins with one machine.
      job: demand.gang ? job : { ...job, tasks: 1 },
      zoneCapacity,
      waitedMs: job.waitedMs,
    })),
  ];
};

/** The queue: by priority, then jobs that already have a reservation, then the longest wait. */
export const queueDemand = (input: QueueInput): readonly QueuedDemand[] => {
  const queue: QueuedDemand[] = [];
  for (const summary of input.summaries)
    for (const demand of summary.needs) queue.push(...entriesOf(summary, demand, input));
  const reservedJobs = new Set(input.reservations.map(({ job }) => job));
  // Else two jobs would take the gathered machines from each other in turn.
  const isReserved = (entry: QueuedDemand): number =>
    Number(entry._tag !== 'tasks' && reservedJobs.has(entry.job.job));
  return queue.sort(
    (a, b) =>
      b.demand.priority - a.demand.priority || isReserved(b) - isReserved(a) || b.waitedMs - a.waitedMs,
  );
};
