/**
 * The spare machines of all shards during one round of the scaling plan. `SparePools` owns them: machines
 * that are gathered for one demand are no longer available to the next.
 */
import { fittingTaskCount, typeAllowed, type MachineType } from '../jobs/model.js';
import { kindKey, type MachineKind } from './machine-record.js';
import type { ScalingPlanInput, TransferStep } from './scaling-model.js';
import type { UnmetDemand } from './shard-summary.js';

/** A spare machine that a summary lists. */
interface ListedSpare {
  readonly id: string;
  readonly shardId: number;
}

/** Spare machines of one kind. */
interface SparePool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Spare machines that summaries list, in the order of their ids. */
  listed: ListedSpare[];
  /** By shard: number of spare machines that its summary does not list. */
  readonly unlisted: Map<number, number>;
}

/** The result of gathering machines for a demand. */
export interface GatherResult {
  readonly transfers: readonly TransferStep[];
  /** Number of tasks that still lack a machine. */
  readonly missing: number;
}

/** Number of tasks of the demand that one machine of this kind can run. */
export const tasksOnMachine = (
  demand: UnmetDemand,
  machine: { readonly type: MachineType; readonly zone: string; readonly spot: boolean },
): number => {
  if ((machine.spot && !demand.spot) || (demand.zone !== null && demand.zone !== machine.zone)) return 0;
  if (!typeAllowed(demand, machine.type.name)) return 0;
  return fittingTaskCount(demand, machine.type, demand.tasks);
};

type PoolInput = Pick<ScalingPlanInput, 'summaries' | 'catalog' | 'pendingTransfers'>;

/** The pools in the order of their kinds, without machines of types that the catalog doesn't have. */
const collectPools = ({ summaries, catalog, pendingTransfers }: PoolInput): readonly SparePool[] => {
  const pools = new Map<string, SparePool>();
  const inTransfer = new Set(pendingTransfers.map(({ machine }) => machine));
  const poolOf = (kind: MachineKind): SparePool | undefined => {
    const type = catalog.get(kind.type);
    if (!type) return undefined;
    const key = kindKey(kind.type, kind.zone, kind.spot);
    let pool = pools.get(key);
    if (!pool) {
      pool = { type, zone: kind.zone, spot: kind.spot, listed: [], unlisted: new Map<number, number>() };
      pools.set(key, pool);
    }
    return pool;
  };
  for (const { shardId, spares, unlisted } of summaries) {
    for (const spare of spares)
      if (!inTransfer.has(spare.id)) poolOf(spare)?.listed.push({ id: spare.id, shardId });
    for (const kind of unlisted ?? []) poolOf(kind)?.unlisted.set(shardId, kind.count);
  }
  const sorted = [...pools].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, pool]) => pool);
  for (const pool of sorted) pool.listed.sort((a, b) => (a.id < b.id ? -1 : 1));
  return sorted;
};

/** Number of tasks that spare machines of other shards in the pool can run. */
const capacityOfPool = (demand: UnmetDemand, shardId: number, pool: SparePool): number => {
  const tasks = tasksOnMachine(demand, pool);
  if (tasks === 0) return 0;
  let capacity = 0;
  for (const machine of pool.listed) if (machine.shardId !== shardId) capacity += tasks;
  for (const [ownerShardId, count] of pool.unlisted) if (ownerShardId !== shardId) capacity += tasks * count;
  return capacity;
};

/** The spare machines of one round. State: those not gathered yet, and a cache of computed capacities. */
export class SparePools {
  private readonly pools: readonly SparePool[];
  /** By demand and zone; under the heaviest load, hundreds of waiting gangs share a few demands. */
  private readonly capacities = new Map<UnmetDemand, Map<string, number>>();

  constructor(input: PoolInput) {
    this.pools = collectPools(input);
  }

  /** Zones of the pools, with duplicates. */
  zones(): readonly string[] {
    return this.pools.map(({ zone }) => zone);
  }

  /**
   * Number of tasks of the demand that spare machines of other shards in the zone can run. The cache
   * is keyed by demand and zone only, because a demand belongs to one shard.
   */
  capacity(demand: UnmetDemand, shardId: number, zone: string): number {
    let zones = this.capacities.get(demand);
    if (!zones) this.capacities.set(demand, (zones = new Map<string, number>()));
    let capacity = zones.get(zone);
    if (capacity === undefined) {
      capacity = 0;
      for (const pool of this.pools)
        if (pool.zone === zone) capacity += capacityOfPool(demand, shardId, pool);
      zones.set(zone, capacity);
    }
    return capacity;
  }

  /**
   * Takes spare machines of other shards, in the zone or (null) in all zones, until `missing` tasks have a
   * machine or no spare machine is left.
   */
  gather(demand: UnmetDemand, shardId: number, zone: string | null, missing: number): GatherResult {
    const transfers: TransferStep[] = [];
    let stillMissing = missing;
    for (const pool of this.pools) {
      if (stillMissing <= 0) break;
      if (zone !== null && pool.zone !== zone) continue;
      const tasks = tasksOnMachine(demand, pool);
      if (tasks === 0) continue;
      for (const machine of this.takeListed(pool, shardId, Math.ceil(stillMissing / tasks))) {
        transfers.push({ _tag: 'transfer', machine: machine.id, from: machine.shardId, to: shardId });
        stillMissing -= tasks;
      }
      stillMissing = this.takeUnlisted(pool, tasks, shardId, stillMissing);
    }
    return { transfers, missing: stillMissing };
  }

  private takeListed(pool: SparePool, shardId: number, limit: number): readonly ListedSpare[] {
    const taken: ListedSpare[] = [];
    const remaining: ListedSpare[] = [];
    for (const machine of pool.listed)
      (machine.shardId !== shardId && taken.length < limit ? taken : remaining).push(machine);
    if (taken.length === 0) return taken;
    pool.listed = remaining;
    this.capacities.clear();
    return taken;
  }

  /**
   * Counts spare machines that the summaries of other shards don't list yet: later summaries list these
   * machines, and the next rounds transfer them. Returns the number of tasks that still lack a machine.
   */
  private takeUnlisted(pool: SparePool, tasks: number, shardId: number, missing: number): number {
    let stillMissing = missing;
    for (const [ownerShardId, count] of pool.unlisted) {
      if (stillMissing <= 0) break;
      if (ownerShardId === shardId || count === 0) continue;
      const used = Math.min(count, Math.ceil(stillMissing / tasks));
      pool.unlisted.set(ownerShardId, count - used);
      this.capacities.clear();
      stillMissing -= used * tasks;
    }
    return stillMissing;
  }
}
