import { AMOUNT_TOLERANCE, SPREAD_ZONE_FRACTION } from '../constants/placement.js';
import type { Urgency } from './urgency.js';
import { fitsIn, howMany, placeAllowed, type Demand, type JobSpec } from '../jobs/model.js';

/** Where tasks go: pure functions over plain data. */
export interface AvailableCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Demand;
  readonly free: { cpus: number; gpus: number; memoryGb: number };
  /** Of a machine that is always kept for others: what is over beside them. */
  readonly beside: { cpus: number; gpus: number; memoryGb: number };
  readonly images: ReadonlySet<string>;
  /** False: still booting, or not heard from yet; counts for planning, takes no tasks. */
  readonly live: boolean;
  /** Held back from spot-capable work: the last idle ones while that can wait, those of scarce types always. */
  readonly kept: 'no' | 'reserve' | 'always';
  /** Being gathered for this job: work of its priority and below leaves it alone. */
  readonly held: { readonly job: string; readonly priority: number } | null;
  /** Nothing is on it. */
  readonly empty: boolean;
}

/** A job with tasks that wait for room. */
export interface PlacementRequest {
  readonly job: string;
  readonly spec: JobSpec;
  /** Indexes of the tasks that wait (gangs: all of them). */
  readonly waiting: readonly number[];
  /** Tasks of the job that are, or may be, on machines, by zone. */
  readonly inZones: ReadonlyMap<string, number>;
  readonly failedOn: ReadonlySet<string>;
  readonly at: number;
  readonly withinGuarantee: boolean;
  /** Which start targets it can still meet; lower goes first. */
  readonly tier: number;
  readonly urgency: Urgency;
  /** Work that may use spot machines may take room on ordinary ones now. */
  readonly ordinary: boolean;
  /** It has other machines to go to than ordinary ones of a single type. */
  readonly hasAlternatives: boolean;
  /** Machines are being gathered for it: it goes first within its priority. */
  readonly gathering: boolean;
}

/** CPUs and GPUs that a team uses. */
export interface Usage {
  cpus: number;
  gpus: number;
}
/** CPUs and GPUs that a team may use at most. */
export interface Limit {
  readonly cpusMax: number;
  readonly gpusMax: number;
}

/** One task put on one machine. */
export interface Assignment {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
}

/** What of a class is not an amount. */
const kindOf = (spec: JobSpec): string =>
  [
    spec.kind,
    spec.types?.join('+') ?? '*',
    spec.zone ?? '*',
    spec.oneZone ? 1 : 0,
    spec.spread ? 1 : 0,
    spec.spot ? 1 : 0,
  ].join('|');

/**
 * What found no room in this round, and with it whatever needs as much or more in the same places: rooms only
 * shrink within a round. Jobs whose amounts differ a little each would otherwise all be tried.
 */
class Hopeless {
  private readonly failed = new Map<string, { need: Demand; tasks: number }[]>();
  private key(ask: PlacementRequest): string {
    return `${kindOf(ask.spec)}|${ask.spec.priority}|${ask.ordinary}|${ask.urgency.place}`;
  }
  add(ask: PlacementRequest): void {
    const key = this.key(ask);
    const list = this.failed.get(key) ?? [];
    this.failed.set(key, list);
    list.push({ need: ask.spec, tasks: ask.spec.kind === 'gang' ? ask.spec.tasks : 1 });
  }
  covers(ask: PlacementRequest): boolean {
    const tasks = ask.spec.kind === 'gang' ? ask.spec.tasks : 1;
    return (this.failed.get(this.key(ask)) ?? []).some(
      (known) => tasks >= known.tasks && fitsIn(known.need, ask.spec),
    );
  }
}

/**
 * Tasks of this size that the team may still start. A limit of 0 means none: whoever asks for GPUs needs a
 * GPU limit; CPUs are counted where the team has a CPU limit.
 */
export const quotaRoom = (
  spec: Pick<JobSpec, 'cpus' | 'gpus'>,
  limit: Limit,
  use: Usage,
  most: number,
): number => {
  let count = most;
  if (spec.gpus > 0)
    count = Math.min(count, Math.floor((limit.gpusMax - use.gpus + AMOUNT_TOLERANCE) / spec.gpus));
  if (spec.cpus > 0 && limit.cpusMax > 0) {
    count = Math.min(count, Math.floor((limit.cpusMax - use.cpus + AMOUNT_TOLERANCE) / spec.cpus));
  }
  return Math.max(0, count);
};

const subtract = (
  from: { cpus: number; gpus: number; memoryGb: number },
  need: Demand,
  count: number,
): void => {
  from.cpus -= need.cpus * count;
  from.gpus -= need.gpus * count;
  from.memoryGb -= need.memoryGb * count;
};

const take = (room: AvailableCapacity, ask: PlacementRequest, count: number): void => {
  subtract(room.free, ask.spec, count);
  if (ask.hasAlternatives) subtract(room.beside, ask.spec, count);
};

/**
 * How far work with alternatives may go on machines that are kept for work without: beside that work, or over all
 * that is free where it finds no room otherwise.
 */
type Reach = 'beside' | 'all';

const limitedToBeside = (ask: PlacementRequest, room: AvailableCapacity, reach: Reach): boolean =>
  reach === 'beside' && room.kept === 'always' && ask.hasAlternatives;

/** What the request may take of a machine. */
const roomFor = (ask: PlacementRequest, room: AvailableCapacity, reach: Reach): Demand =>
  limitedToBeside(ask, room, reach) ? room.beside : room.free;

/** MostAllocated: the mean share in use over CPUs, memory and GPUs (where there are any). */
const fullness = (rooms: readonly AvailableCapacity[]): number => {
  let sum = 0;
  let parts = 0;
  for (const field of ['cpus', 'memoryGb', 'gpus'] as const) {
    let total = 0;
    let free = 0;
    for (const room of rooms) {
      total += room.total[field];
      free += room.free[field];
    }
    if (total > 0) {
      sum += (total - free) / total;
      parts += 1;
    }
  }
  return parts === 0 ? 0 : sum / parts;
};

const byName = (a: { id: string }, b: { id: string }): number => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0);

/** Best machine first: not one kept for others, the cheaper kind, with the image, the fullest, by name. */
const rank = (rooms: readonly AvailableCapacity[], spec: JobSpec): readonly AvailableCapacity[] =>
  rooms
    .map((room) => ({ room, full: fullness([room]) }))
    .sort(
      (a, b) =>
        Number(a.room.kept !== 'no') - Number(b.room.kept !== 'no') ||
        Number(b.room.spot) - Number(a.room.spot) ||
        Number(b.room.images.has(spec.image)) - Number(a.room.images.has(spec.image)) ||
        b.full - a.full ||
        byName(a.room, b.room),
    )
    .map((entry) => entry.room);

const heldBack = (ask: PlacementRequest, room: AvailableCapacity): boolean => {
  switch (room.kept) {
    case 'no':
      return !ask.ordinary;
    case 'reserve':
      return !ask.ordinary || !ask.urgency.place;
    case 'always':
      // What is over beside others costs nothing, and is no use to them.
      return false;
  }
};

/**
 * What is gathered for another job is left alone: machines that are empty by all, and those in use by work that has
 * spot machines to go to, or they would be filled again and again and never be empty.
 */
const gathered = (ask: PlacementRequest, room: AvailableCapacity): boolean =>
  room.held !== null &&
  room.held.job !== ask.job &&
  ask.spec.priority <= room.held.priority &&
  (room.empty || (ask.spec.spot && !room.spot));

const usable = (
  ask: PlacementRequest,
  rooms: readonly AvailableCapacity[],
  reach: Reach,
): readonly AvailableCapacity[] =>
  rooms.filter(
    (room) =>
      // Most rooms are full, so this comes first.
      fitsIn(ask.spec, roomFor(ask, room, reach)) &&
      !gathered(ask, room) &&
      placeAllowed(ask.spec, room) &&
      !(ask.spec.spot && !room.spot && heldBack(ask, room)) &&
      !ask.failedOn.has(room.id),
  );

const fill = (
  ask: PlacementRequest,
  rooms: readonly AvailableCapacity[],
  count: number,
  zoneCap: number,
  reach: Reach,
): { room: AvailableCapacity; count: number }[] => {
  const chosen: { room: AvailableCapacity; count: number }[] = [];
  const inZone = new Map(ask.inZones);
  let left = count;
  for (const room of rank(rooms, ask.spec)) {
    if (left <= 0) break;
    const used = inZone.get(room.zone) ?? 0;
    const here = Math.min(howMany(ask.spec, roomFor(ask, room, reach), left), zoneCap - used);
    if (here <= 0) continue;
    chosen.push({ room, count: here });
    inZone.set(room.zone, used + here);
    left -= here;
  }
  return chosen;
};

/** The candidate zones of an ask: one entry for each set of machines that it may use together. */
const zonesOf = (
  ask: PlacementRequest,
  rooms: readonly AvailableCapacity[],
): Map<string, AvailableCapacity[]> => {
  const zones = new Map<string, AvailableCapacity[]>();
  const occupied = [...ask.inZones].filter(([, count]) => count > 0).map(([zone]) => zone);
  for (const room of rooms) {
    const zone = ask.spec.oneZone ? room.zone : '';
    // Once some tasks run, only the zone that holds them counts.
    if (ask.spec.oneZone && occupied.length > 0 && !occupied.every((held) => held === zone)) continue;
    const list = zones.get(zone);
    if (list) list.push(room);
    else zones.set(zone, [room]);
  }
  return zones;
};

/** Tasks put on machines that the request may use together. */
interface Candidate {
  readonly score: number;
  readonly count: number;
  readonly chosen: readonly { readonly room: AvailableCapacity; readonly count: number }[];
}

/** The candidate that holds most of the tasks wanted, and of those the fullest. */
const bestCandidate = (
  ask: PlacementRequest,
  rooms: readonly AvailableCapacity[],
  want: number,
  reach: Reach,
): Candidate | null => {
  const gang = ask.spec.kind === 'gang';
  const zoneCap = ask.spec.spread
    ? Math.ceil(ask.spec.tasks * SPREAD_ZONE_FRACTION)
    : Number.POSITIVE_INFINITY;
  const fits = usable(ask, rooms, reach);
  let best: Candidate | null = null;
  for (const [zone, candidates] of [...zonesOf(ask, fits)].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const chosen = fill(ask, candidates, want, zoneCap, reach);
    const count = chosen.reduce((sum, entry) => sum + entry.count, 0);
    if (count === 0 || (gang && count < ask.spec.tasks)) continue;
    const score = fullness(zone === '' ? candidates : rooms.filter((room) => room.zone === zone));
    if (!best || count > best.count || (count === best.count && score > best.score + AMOUNT_TOLERANCE)) {
      best = { score, count, chosen };
    }
  }
  return best;
};

/** Places one request: the whole gang or nothing, of other jobs as many tasks as fit. */
const packOne = (
  ask: PlacementRequest,
  rooms: readonly AvailableCapacity[],
  mostTasks: number,
): readonly Assignment[] => {
  const want = Math.min(ask.waiting.length, mostTasks);
  if (want <= 0 || (ask.spec.kind === 'gang' && want < ask.spec.tasks)) return [];
  let best = bestCandidate(ask, rooms, want, 'beside');
  // Work that may use spot machines never takes more than is over.
  if ((best?.count ?? 0) < want && ask.hasAlternatives && !ask.spec.spot)
    best = bestCandidate(ask, rooms, want, 'all');
  if (!best) return [];
  const puts: Assignment[] = [];
  let next = 0;
  for (const { room, count } of best.chosen) {
    take(room, ask, count);
    for (let k = 0; k < count; k += 1) {
      const index = ask.waiting[next];
      next += 1;
      if (index !== undefined) puts.push({ job: ask.job, index, machine: room.id });
    }
  }
  return puts;
};

/** The outcome of packing a list of requests. */
export interface Packed {
  readonly puts: readonly Assignment[];
  /** What found no room, with the number of tasks that the limit allows and that still wait. */
  readonly left: readonly { readonly ask: PlacementRequest; readonly count: number }[];
}

const dueAt = (ask: PlacementRequest): number =>
  ask.spec.deadlineS === null ? Number.MAX_SAFE_INTEGER : ask.at + ask.spec.deadlineS * 1000;

/** Most important first; then what machines are gathered for; then work that has no spot machines to go to; then work within its team's guarantee; then by targets; then the shortest; then by deadline; then the oldest. */
export const order = (asks: readonly PlacementRequest[]): readonly PlacementRequest[] =>
  [...asks].sort(
    (a, b) =>
      b.spec.priority - a.spec.priority ||
      Number(b.gathering) - Number(a.gathering) ||
      Number(a.spec.spot) - Number(b.spec.spot) ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      a.tier - b.tier ||
      a.spec.estimateS - b.spec.estimateS ||
      dueAt(a) - dueAt(b) ||
      a.at - b.at ||
      (a.job < b.job ? -1 : 1),
  );

/** Places requests in their order within the teams' limits. */
export const packAll = (
  asks: readonly PlacementRequest[],
  rooms: readonly AvailableCapacity[],
  limits: ReadonlyMap<string, Limit>,
  uses: Map<string, Usage>,
): Packed => {
  const puts: Assignment[] = [];
  const left: { ask: PlacementRequest; count: number }[] = [];
  const hopeless = new Hopeless();
  /** What each team would use if all that waits had its room: a plan must not pass the limit either. */
  const planned = new Map([...uses].map(([team, use]) => [team, { ...use }]));
  for (const ask of asks) {
    const limit = limits.get(ask.spec.team);
    if (!limit) continue;
    const use = uses.get(ask.spec.team) ?? { cpus: 0, gpus: 0 };
    const plan = planned.get(ask.spec.team) ?? { cpus: 0, gpus: 0 };
    uses.set(ask.spec.team, use);
    planned.set(ask.spec.team, plan);
    const gang = ask.spec.kind === 'gang';
    const allowed = quotaRoom(ask.spec, limit, use, ask.waiting.length);
    if (allowed === 0 || (gang && allowed < ask.spec.tasks)) continue;
    const plain = ask.failedOn.size === 0 && ask.inZones.size === 0 && !ask.gathering;
    const placed = plain && hopeless.covers(ask) ? [] : packOne(ask, rooms, allowed);
    if (placed.length < allowed && plain) hopeless.add(ask);
    puts.push(...placed);
    use.cpus += ask.spec.cpus * placed.length;
    use.gpus += ask.spec.gpus * placed.length;
    const wish = quotaRoom(ask.spec, limit, plan, allowed);
    const count = gang && wish < ask.spec.tasks ? 0 : Math.max(0, wish - placed.length);
    if (count > 0) left.push({ ask, count });
    plan.cpus += ask.spec.cpus * (placed.length + count);
    plan.gpus += ask.spec.gpus * (placed.length + count);
  }
  return { puts, left };
};
