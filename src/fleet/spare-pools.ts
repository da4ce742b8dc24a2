/**
 * The spare machines of all shards during one round of the scaling plan. `SparePools` owns them: what is
 * gathered for one demand is no longer there for the next.
 */
import { fittingTaskCount, typeAllowed, type MachineType } from '../jobs/model.js';
import { kindKey, type MachineKind } from './machine-record.js';
import type { ScalingPlanInput, TransferStep } from './scaling-model.js';
import type { UnmetDemand } from './shard-summary.js';

interface NamedSpare {
  readonly id: string;
  readonly shardId: number;
}

/** Spare machines of one kind. */
interface SparePool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Those that summaries name, in the order of their ids. */
  named: NamedSpare[];
  /** By shard: how many it has beyond those that it names. */
  readonly unlisted: Map<number, number>;
}

/** What became of gathering machines for a demand. */
export interface GatherResult {
  readonly transfers: readonly TransferStep[];
  /** Tasks that still lack a machine. */
  readonly missing: number;
}

/** Tasks of the demand that one machine of this kind takes. */
export const tasksOnMachine = (
  demand: UnmetDemand,
  machine: { readonly type: MachineType; readonly zone: string; readonly spot: boolean },
): number => {
  if ((machine.spot && !demand.spot) || (demand.zone !== null && demand.zone !== machine.zone)) return 0;
  if (!typeAllowed(demand, machine.type.name)) return 0;
  return fittingTaskCount(demand, machine.type, demand.tasks);
};

type PoolInput = Pick<ScalingPlanInput, 'summaries' | 'catalog' | 'pendingTransfers'>;

/** Pools by kind; machines of types that the catalog doesn't have are left out. */
const collectPools = ({ summaries, catalog, pendingTransfers }: PoolInput): readonly SparePool[] => {
  const pools = new Map<string, SparePool>();
  const onTheirWay = new Set(pendingTransfers.map(({ machine }) => machine));
  const poolOf = (kind: MachineKind): SparePool | undefined => {
    const type = catalog.get(kind.type);
    if (!type) return undefined;
    const key = kindKey(kind.type, kind.zone, kind.spot);
    let pool = pools.get(key);
    if (!pool) {
      pool = { type, zone: kind.zone, spot: kind.spot, named: [], unlisted: new Map<number, number>() };
      pools.set(key, pool);
    }
    return pool;
  };
  for (const { shardId, spares, unlisted } of summaries) {
    for (const spare of spares)
      if (!onTheirWay.has(spare.id)) poolOf(spare)?.named.push({ id: spare.id, shardId });
    for (const kind of unlisted ?? []) poolOf(kind)?.unlisted.set(shardId, kind.count);
  }
  const sorted = [...pools].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, pool]) => pool);
  for (const pool of sorted) pool.named.sort((a, b) => (a.id < b.id ? -1 : 1));
  return sorted;
};

/** Tasks that spare machines of other shards in the pool take. */
const capacityOfPool = (demand: UnmetDemand, shardId: number, pool: SparePool): number => {
  const tasks = tasksOnMachine(demand, pool);
  if (tasks === 0) return 0;
  let capacity = 0;
  for (const machine of pool.named) if (machine.shardId !== shardId) capacity += tasks;
  for (const [owner, count] of pool.unlisted) if (owner !== shardId) capacity += tasks * count;
  return capacity;
};

/** The spare machines of one round. State: those not gathered yet, and the capacities worked out since. */
export class SparePools {
  private readonly pools: readonly SparePool[];
  /** By demand and zone; hundreds of gangs with few demands wait at the worst times. */
  private readonly capacities = new Map<UnmetDemand, Map<string, number>>();

  constructor(input: PoolInput) {
    this.pools = collectPools(input);
  }

  /** Zones with a pool. */
  zones(): readonly string[] {
    return this.pools.map(({ zone }) => zone);
  }

  /**
   * Tasks of the demand that spare machines of other shards in the zone take. A demand belongs to one shard.
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
   * Takes spare machines of other shards, in the zone or (null) anywhere, until `missing` tasks have one or
   * none is left.
   */
  gather(demand: UnmetDemand, shardId: number, zone: string | null, missing: number): GatherResult {
    const transfers: TransferStep[] = [];
    let left = missing;
    for (const pool of this.pools) {
      if (left <= 0) break;
      if (zone !== null && pool.zone !== zone) continue;
      const tasks = tasksOnMachine(demand, pool);
      if (tasks === 0) continue;
      for (const machine of this.takeNamed(pool, shardId, Math.ceil(left / tasks))) {
        transfers.push({ _tag: 'transfer', machine: machine.id, from: machine.shardId, to: shardId });
        left -= tasks;
      }
      left = this.takeUnlisted(pool, tasks, shardId, left);
    }
    return { transfers, missing: left };
  }

  private takeNamed(pool: SparePool, shardId: number, most: number): readonly NamedSpare[] {
    const taken: NamedSpare[] = [];
    const remaining: NamedSpare[] = [];
    for (const machine of pool.named)
      (machine.shardId !== shardId && taken.length < most ? taken : remaining).push(machine);
    if (taken.length === 0) return taken;
    pool.named = remaining;
    this.capacities.clear();
    return taken;
  }

  /**
   * Counts on spare machines that other shards don't name yet: they are named, and transferred, in the next
   * rounds. Returns the tasks that lack a machine even so.
   */
  private takeUnlisted(pool: SparePool, tasks: number, shardId: number, missing: number): number {
    let left = missing;
    for (const [owner, count] of pool.unlisted) {
      if (left <= 0) break;
      if (owner === shardId || count === 0) continue;
      const used = Math.min(count, Math.ceil(left / tasks));
      pool.unlisted.set(owner, count - used);
      this.capacities.clear();
      left -= used * tasks;
    }
    return left;
  }
}
