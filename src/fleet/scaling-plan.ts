import { MAX_MACHINES_PER_PROVISIONING_REQUEST } from '../constants/fleet.js';
import { MAX_RESERVATION_AGE_MS } from '../constants/reservations.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { howMany, typeAllowed, type Catalog, type Demand, type MachineType } from '../jobs/model.js';
import type { Reservation, UnmetDemand, ShardSummary, WaitingGang } from './records.js';

/** What the leader does about the shares' needs: first free machines of other shares, then new ones. */
export type Step =
  | { readonly _tag: 'move'; readonly machine: string; readonly from: number; readonly to: number }
  | {
      readonly _tag: 'rent';
      /** The share that each machine is for. */
      readonly shardIds: readonly number[];
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    };

/** Everything that the plan of a round looks at. */
export interface PlanInput {
  readonly summaries: readonly ShardSummary[];
  readonly catalog: Catalog;
  /** No capacity was found there lately. */
  readonly refused: (type: string, zone: string, spot: boolean) => boolean;
  /** Machines that there are, up or coming, of all shares together. */
  readonly machines: (type: string, zone: string, spot: boolean) => number;
  /** Those of the last round. */
  readonly reservations: readonly Reservation[];
  /**
   * Shares whose summary does not know yet of machines that were rented for it: nothing more is done for
   * them, but what is being gathered goes on.
   */
  readonly behind: ReadonlySet<number>;
  /** Machines that were lately ordered to a share whose summary does not show them yet. */
  readonly moving: readonly PendingTransfer[];
}
/** A machine that was ordered to a share and does not show there yet. */
export interface PendingTransfer {
  readonly machine: string;
  readonly to: number;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}
/** What the leader does this round, and the reservations in force after it. */
export interface Plan {
  readonly steps: readonly Step[];
  readonly reservations: readonly Reservation[];
}

interface Offer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Tasks of the need on one such machine, and how many it could hold. */
  readonly fits: number;
  readonly whole: number;
  readonly cost: number;
}

/** Free machines of one type, zone and kind, by name. */
interface Pool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: { id: string; shardId: number }[];
  /** Free machines beyond those that each share names. */
  readonly unlisted: Map<number, number>;
}

type Place = Pick<UnmetDemand, 'types' | 'zone' | 'spot' | 'cpus' | 'gpus' | 'memoryGb'>;
const demand = (need: Demand): Demand => ({ cpus: need.cpus, gpus: need.gpus, memoryGb: need.memoryGb });

/** The machines that could serve a need, cheapest for each task first. */
const offers = (need: UnmetDemand, input: Pick<PlanInput, 'catalog' | 'refused'>): readonly Offer[] => {
  const list: Offer[] = [];
  for (const type of input.catalog.values()) {
    if (need.types !== null && !need.types.includes(type.name)) continue;
    const fits = howMany(demand(need), type, need.tasks);
    if (fits === 0) continue;
    const whole = howMany(demand(need), type, MAX_TASKS_PER_JOB);
    for (const zone of type.zones) {
      if (need.zone !== null && need.zone !== zone) continue;
      // Work that may use spot machines is worth an ordinary one only to save a target.
      const kinds = !need.spot ? [false] : need.urgent ? [true, false] : [true];
      for (const spot of kinds) {
        if (input.refused(type.name, zone, spot)) continue;
        list.push({ type, zone, spot, fits, whole, cost: (spot ? type.spotPrice : type.price) / fits });
      }
    }
  }
  return list.sort(
    (a, b) =>
      a.cost - b.cost ||
      (a.type.name < b.type.name ? -1 : a.type.name > b.type.name ? 1 : 0) ||
      (a.zone < b.zone ? -1 : 1),
  );
};

const poolsOf = (input: PlanInput): readonly Pool[] => {
  const pools = new Map<string, Pool>();
  const moving = new Set(input.moving.map((machine) => machine.machine));
  const poolOf = (kind: { type: string; zone: string; spot: boolean }): Pool | null => {
    const type = input.catalog.get(kind.type);
    if (!type) return null;
    const key = `${kind.type}|${kind.zone}|${kind.spot}`;
    const pool = pools.get(key) ?? {
      type,
      zone: kind.zone,
      spot: kind.spot,
      free: [],
      unlisted: new Map<number, number>(),
    };
    pools.set(key, pool);
    return pool;
  };
  for (const summary of input.summaries) {
    for (const spare of summary.spares)
      if (!moving.has(spare.id)) poolOf(spare)?.free.push({ id: spare.id, shardId: summary.shardId });
    for (const kind of summary.unlisted ?? []) poolOf(kind)?.unlisted.set(summary.shardId, kind.count);
  }
  const list = [...pools].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, pool]) => pool);
  for (const pool of list) pool.free.sort((a, b) => (a.id < b.id ? -1 : 1));
  return list;
};

/** Tasks of the need on one machine of the pool. */
const fitsPool = (need: Place, tasks: number, pool: Pick<Pool, 'type' | 'zone' | 'spot'>): number => {
  if ((pool.spot && !need.spot) || (need.zone !== null && need.zone !== pool.zone)) return 0;
  if (need.types !== null && !need.types.includes(pool.type.name)) return 0;
  return howMany(demand(need), pool.type, tasks);
};

const holdOf = (
  need: UnmetDemand,
  shardId: number,
  gang: WaitingGang,
  zone: string,
  before: Reservation | undefined,
): Reservation => ({
  shardId,
  job: gang.job,
  zone,
  spot: need.spot,
  types: need.types,
  cpus: need.cpus,
  gpus: need.gpus,
  memoryGb: need.memoryGb,
  tasks: gang.tasks,
  priority: need.priority,
  ageMs: before?.zone === zone ? before.ageMs : 0,
});

class Planner {
  readonly steps: Step[] = [];
  readonly reservations: Reservation[] = [];
  private readonly pools: readonly Pool[];
  /**
   * Hundreds of gangs of few needs wait on the roughest days: what depends on the need alone is worked out
   * once.
   */
  private readonly offered = new Map<UnmetDemand, readonly Offer[]>();
  private readonly reached = new Map<UnmetDemand, Map<string, number>>();
  constructor(private readonly input: PlanInput) {
    this.pools = poolsOf(input);
  }

  private offersOf(need: UnmetDemand): readonly Offer[] {
    let list = this.offered.get(need);
    if (!list) this.offered.set(need, (list = offers(need, this.input)));
    return list;
  }

  /** Tasks of the need on free machines of other shares in the zone. A need belongs to one share. */
  private reach(need: UnmetDemand, shardId: number, zone: string): number {
    let zones = this.reached.get(need);
    if (!zones) this.reached.set(need, (zones = new Map<string, number>()));
    let room = zones.get(zone);
    if (room === undefined) zones.set(zone, (room = this.countReach(need, shardId, zone)));
    return room;
  }

  private countReach(need: UnmetDemand, shardId: number, zone: string): number {
    let room = 0;
    for (const pool of this.pools) {
      if (pool.zone !== zone) continue;
      const fits = fitsPool(need, need.tasks, pool);
      if (fits === 0) continue;
      room += fits * pool.free.filter((machine) => machine.shardId !== shardId).length;
      for (const [holder, count] of pool.unlisted) if (holder !== shardId) room += fits * count;
    }
    return room;
  }

  /**
   * Counts on free machines that other shares have without naming them: they are named, and move, in the next
   * rounds.
   */
  private countUnlisted(pool: Pool, fits: number, shardId: number, missing: number): number {
    let left = missing;
    for (const [holder, count] of pool.unlisted) {
      if (left <= 0) break;
      if (holder === shardId || count === 0) continue;
      const used = Math.min(count, Math.ceil(left / fits));
      pool.unlisted.set(holder, count - used);
      this.reached.clear();
      left -= used * fits;
    }
    return left;
  }

  /** Moves free machines of other shares until nothing is missing or none is left; what is missing then. */
  private gather(need: UnmetDemand, shardId: number, zone: string | null, missing: number): number {
    let left = missing;
    for (const pool of this.pools) {
      if (left <= 0) break;
      if (zone !== null && pool.zone !== zone) continue;
      const fits = fitsPool(need, need.tasks, pool);
      if (fits === 0) continue;
      for (const machine of pool.free.filter((candidate) => candidate.shardId !== shardId)) {
        if (left <= 0) break;
        pool.free.splice(pool.free.indexOf(machine), 1);
        this.reached.clear();
        this.steps.push({ _tag: 'move', machine: machine.id, from: machine.shardId, to: shardId });
        left -= fits;
      }
      left = this.countUnlisted(pool, fits, shardId, left);
    }
    return left;
  }

  private provision(need: UnmetDemand, shardId: number, zone: string | null, missing: number): void {
    for (const offer of this.offersOf(need)) {
      if (zone !== null && offer.zone !== zone) continue;
      // An ordinary machine for work that could use spot is worth its price only when filled.
      const filled = need.spot && !offer.spot;
      const count = Math.min(
        MAX_MACHINES_PER_PROVISIONING_REQUEST,
        filled ? Math.floor(missing / offer.whole) : Math.ceil(missing / offer.fits),
      );
      if (count === 0) continue;
      this.steps.push({
        _tag: 'rent',
        shardIds: Array.from({ length: count }, () => shardId),
        type: offer.type.name,
        zone: offer.zone,
        spot: offer.spot,
        count,
      });
      // What is not to be had shows in the answer; the next round tries elsewhere.
      return;
    }
  }

  /** Could the zone ever hold the gang, with the machines that are there already? */
  private couldHold(need: UnmetDemand, zone: string, tasks: number): boolean {
    let room = 0;
    for (const type of this.input.catalog.values()) {
      if (need.types !== null && !need.types.includes(type.name)) continue;
      for (const spot of need.spot ? [true, false] : [false])
        room += howMany(demand(need), type, MAX_TASKS_PER_JOB) * this.input.machines(type.name, zone, spot);
    }
    return room >= tasks;
  }

  /** A one-zone gang needs its machines in one zone: complete the zone that lacks least, or begin a hold. */
  private oneZoneGang(
    need: UnmetDemand,
    shardId: number,
    gang: WaitingGang,
    room: Record<string, number>,
  ): void {
    const held = this.input.reservations.find(
      (reservation) => reservation.shardId === shardId && reservation.job === gang.job,
    );
    const rentable = new Set(this.offersOf(need).map((offer) => offer.zone));
    const zones = new Set([...rentable, ...Object.keys(room), ...this.pools.map((pool) => pool.zone)]);
    let best: { zone: string; lack: number } | null = null;
    for (const zone of [...zones].sort()) {
      if (need.zone !== null && need.zone !== zone) continue;
      if (this.reservations.some((reservation) => reservation.zone === zone && reservation.job !== gang.job))
        continue;
      const lack = gang.tasks - (room[zone] ?? 0) - this.reach(need, shardId, zone);
      if (lack > 0 && !rentable.has(zone)) continue;
      if (!best || lack < best.lack) best = { zone, lack };
    }
    if (held && this.input.behind.has(shardId)) {
      this.reservation(need, shardId, gang, room, zones, held);
      return;
    }
    if (this.input.behind.has(shardId)) return;
    if (!best) {
      this.reservation(need, shardId, gang, room, zones, held);
      return;
    }
    const have = Math.min(gang.tasks, Math.max(0, room[best.zone] ?? 0));
    room[best.zone] = (room[best.zone] ?? 0) - have;
    const before = gang.tasks - have;
    const missing = this.gather(need, shardId, best.zone, before);
    if (missing > 0) this.provision(need, shardId, best.zone, missing);
    // What is on its way to the gang's share must not be taken there by others before the last one arrives.
    else if (gang.tasks > 1 && (before > 0 || held))
      this.reservations.push(holdOf(need, shardId, gang, best.zone, held));
  }

  /** Work that needs no one zone, and yet has not begun since gangs are gathered for all the time. */
  private starving(need: UnmetDemand, shardId: number, gang: WaitingGang): void {
    if (gang.waitedMs < gang.reserveAfterMs || need.gang) return;
    const held = this.input.reservations.find(
      (reservation) => reservation.shardId === shardId && reservation.job === gang.job,
    );
    this.reservation(need, shardId, gang, {}, new Set(), held);
  }

  /** One a zone, so that two never block each other; bounded in time. */
  private reservation(
    need: UnmetDemand,
    shardId: number,
    gang: WaitingGang,
    room: Record<string, number>,
    zones: ReadonlySet<string>,
    held: Reservation | undefined,
  ): void {
    if (gang.waitedMs < gang.reserveAfterMs) return;
    const open = (zone: string): boolean =>
      (need.zone === null || need.zone === zone) &&
      !this.reservations.some((reservation) => reservation.zone === zone) &&
      this.couldHold(need, zone, gang.tasks);
    let zone = held && held.ageMs < MAX_RESERVATION_AGE_MS && open(held.zone) ? held.zone : null;
    if (zone === null) {
      let least = Number.POSITIVE_INFINITY;
      const known = [...this.input.catalog.values()].flatMap((type) => type.zones);
      const everywhere = [...new Set([...zones, ...known])].sort();
      for (const name of everywhere) {
        if (!open(name)) continue;
        const lack = gang.tasks - (room[name] ?? 0) - this.reach(need, shardId, name);
        if (lack < least) {
          least = lack;
          zone = name;
        }
      }
    }
    if (zone === null) return;
    this.reservations.push(holdOf(need, shardId, gang, zone, held));
    const have = Math.min(gang.tasks, Math.max(0, room[zone] ?? 0));
    room[zone] = (room[zone] ?? 0) - have;
    this.gather(need, shardId, zone, gang.tasks - have);
  }

  run(): Plan {
    const wanted: { shardId: number; need: UnmetDemand; gang: WaitingGang | null; waitedMs: number }[] = [];
    const capacities = new Map<UnmetDemand, Record<string, number>>();
    for (const summary of this.input.summaries) {
      for (const need of summary.needs) {
        const room = { ...need.zoneCapacity };
        for (const machine of this.input.moving) {
          const type = this.input.catalog.get(machine.type);
          if (machine.to === summary.shardId && type)
            room[machine.zone] = (room[machine.zone] ?? 0) + fitsPool(need, need.tasks, { ...machine, type });
        }
        capacities.set(need, room);
        if (need.gang && need.oneZone)
          for (const gang of need.gangs)
            wanted.push({ shardId: summary.shardId, need, gang, waitedMs: gang.waitedMs });
        else {
          wanted.push({ shardId: summary.shardId, need, gang: null, waitedMs: need.waitedMs });
          // Of these one machine will do for a start.
          for (const job of need.gangs)
            wanted.push({
              shardId: summary.shardId,
              need,
              gang: need.gang ? job : { ...job, tasks: 1 },
              waitedMs: job.waitedMs,
            });
        }
      }
    }
    // Gangs that machines are being gathered for keep their place, or two would take them from each other in
    // turn.
    const holding = (gang: WaitingGang | null): number =>
      Number(gang !== null && this.input.reservations.some((reservation) => reservation.job === gang.job));
    wanted.sort(
      (a, b) =>
        b.need.priority - a.need.priority || holding(b.gang) - holding(a.gang) || b.waitedMs - a.waitedMs,
    );
    for (const { shardId, need, gang } of wanted) {
      if (gang && need.oneZone && need.gang)
        this.oneZoneGang(need, shardId, gang, capacities.get(need) ?? {});
      else if (gang) this.starving(need, shardId, gang);
      else if (!this.input.behind.has(shardId)) {
        const missing = this.gather(need, shardId, null, need.tasks);
        if (missing > 0) this.provision(need, shardId, null, missing);
      }
    }
    return { steps: merge(this.steps), reservations: this.reservations };
  }
}

/** Plans one round. Pure: the same input gives the same plan. */
export const planSteps = (input: PlanInput): Plan => new Planner(input).run();

/** Is a machine of this type, zone and kind among those that a hold gathers? */
export const heldBy = (
  reservations: readonly Reservation[],
  machine: { readonly type: string; readonly zone: string; readonly spot: boolean; readonly total: Demand },
): Reservation | null => {
  for (const reservation of reservations) {
    if (reservation.zone !== machine.zone || (machine.spot && !reservation.spot)) continue;
    if (!typeAllowed(reservation, machine.type) || howMany(demand(reservation), machine.total, 1) === 0)
      continue;
    return reservation;
  }
  return null;
};

/** Rentals of one kind in one zone go in one request, for whichever shares they are. */
const merge = (steps: readonly Step[]): readonly Step[] => {
  const rents = new Map<string, Step & { _tag: 'rent' }>();
  const out: Step[] = [];
  for (const step of steps) {
    if (step._tag === 'move') {
      out.push(step);
      continue;
    }
    const key = `${step.type}|${step.zone}|${step.spot}`;
    const known = rents.get(key);
    const shardIds = [...(known?.shardIds ?? []), ...step.shardIds].slice(
      0,
      MAX_MACHINES_PER_PROVISIONING_REQUEST,
    );
    rents.set(key, { ...step, shardIds, count: shardIds.length });
  }
  return [...out, ...rents.values()];
};
