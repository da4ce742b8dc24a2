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
  readonly leftover: { cpus: number; gpus: number; memoryGb: number };
  readonly images: ReadonlySet<string>;
  /** False: still booting, or not heard from yet; counts for planning, takes no tasks. */
  readonly live: boolean;
  /**
   * Held back from spot-capable work: the last idle ones while that can wait, those of scarce types always.
   */
  readonly withheldFromSpotWork: 'no' | 'reserve' | 'always';
  /** Being gathered for this job: work of its priority and below leaves it alone. */
  readonly reservedFor: { readonly job: string; readonly priority: number } | null;
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
  readonly attainableObjective: number;
  readonly urgency: Urgency;
  /** Work that may use spot machines may take room on ordinary ones now. */
  readonly mayUseOnDemand: boolean;
  /** It has other machines to go to than ordinary ones of a single type. */
  readonly hasAlternatives: boolean;
  /** Machines are being gathered for it: it goes first within its priority. */
  readonly hasReservation: boolean;
}

/** CPUs and GPUs that a team uses. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}
/** CPUs and GPUs that a team may use at most. */
export interface TeamLimit {
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
class UnplaceableRequests {
  private readonly failed = new Map<string, { need: Demand; tasks: number }[]>();
  private key(request: PlacementRequest): string {
    return `${kindOf(request.spec)}|${request.spec.priority}|${request.mayUseOnDemand}|${request.urgency.place}`;
  }
  add(request: PlacementRequest): void {
    const key = this.key(request);
    const list = this.failed.get(key) ?? [];
    this.failed.set(key, list);
    list.push({ need: request.spec, tasks: request.spec.kind === 'gang' ? request.spec.tasks : 1 });
  }
  covers(request: PlacementRequest): boolean {
    const tasks = request.spec.kind === 'gang' ? request.spec.tasks : 1;
    return (this.failed.get(this.key(request)) ?? []).some(
      (known) => tasks >= known.tasks && fitsIn(known.need, request.spec),
    );
  }
}

/**
 * Tasks of this size that the team may still start. A limit of 0 means none: whoever asks for GPUs needs a
 * GPU limit; CPUs are counted where the team has a CPU limit.
 */
export const quotaRoom = (
  spec: Pick<JobSpec, 'cpus' | 'gpus'>,
  limit: TeamLimit,
  use: TeamUsage,
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

const take = (capacity: AvailableCapacity, request: PlacementRequest, count: number): void => {
  subtract(capacity.free, request.spec, count);
  if (request.hasAlternatives) subtract(capacity.leftover, request.spec, count);
};

/**
 * How far work with alternatives may go on machines that are kept for work without: beside that work, or over
 * all that is free where it finds no room otherwise.
 */
type Reach = 'beside' | 'all';

const limitedToBeside = (request: PlacementRequest, capacity: AvailableCapacity, reach: Reach): boolean =>
  reach === 'beside' && capacity.withheldFromSpotWork === 'always' && request.hasAlternatives;

/** What the request may take of a machine. */
const roomFor = (request: PlacementRequest, capacity: AvailableCapacity, reach: Reach): Demand =>
  limitedToBeside(request, capacity, reach) ? capacity.leftover : capacity.free;

/** MostAllocated: the mean share in use over CPUs, memory and GPUs (where there are any). */
const fullness = (capacities: readonly AvailableCapacity[]): number => {
  let sum = 0;
  let parts = 0;
  for (const field of ['cpus', 'memoryGb', 'gpus'] as const) {
    let total = 0;
    let free = 0;
    for (const capacity of capacities) {
      total += capacity.total[field];
      free += capacity.free[field];
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
const rank = (capacities: readonly AvailableCapacity[], spec: JobSpec): readonly AvailableCapacity[] =>
  capacities
    .map((capacity) => ({ capacity, full: fullness([capacity]) }))
    .sort(
      (a, b) =>
        Number(a.capacity.withheldFromSpotWork !== 'no') - Number(b.capacity.withheldFromSpotWork !== 'no') ||
        Number(b.capacity.spot) - Number(a.capacity.spot) ||
        Number(b.capacity.images.has(spec.image)) - Number(a.capacity.images.has(spec.image)) ||
        b.full - a.full ||
        byName(a.capacity, b.capacity),
    )
    .map((entry) => entry.capacity);

const isWithheld = (request: PlacementRequest, capacity: AvailableCapacity): boolean => {
  switch (capacity.withheldFromSpotWork) {
    case 'no':
      return !request.mayUseOnDemand;
    case 'reserve':
      return !request.mayUseOnDemand || !request.urgency.place;
    case 'always':
      // What is over beside others costs nothing, and is no use to them.
      return false;
  }
};

/**
 * What is gathered for another job is left alone: machines that are empty by all, and those in use by work
 * that has spot machines to go to, or they would be filled again and again and never be empty.
 */
const reservedForAnother = (request: PlacementRequest, capacity: AvailableCapacity): boolean =>
  capacity.reservedFor !== null &&
  capacity.reservedFor.job !== request.job &&
  request.spec.priority <= capacity.reservedFor.priority &&
  (capacity.empty || (request.spec.spot && !capacity.spot));

const usable = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  reach: Reach,
): readonly AvailableCapacity[] =>
  capacities.filter(
    (capacity) =>
      // Most rooms are full, so this comes first.
      fitsIn(request.spec, roomFor(request, capacity, reach)) &&
      !reservedForAnother(request, capacity) &&
      placeAllowed(request.spec, capacity) &&
      !(request.spec.spot && !capacity.spot && isWithheld(request, capacity)) &&
      !request.failedOn.has(capacity.id),
  );

const fill = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  count: number,
  zoneCap: number,
  reach: Reach,
): { capacity: AvailableCapacity; count: number }[] => {
  const chosen: { capacity: AvailableCapacity; count: number }[] = [];
  const inZone = new Map(request.inZones);
  let left = count;
  for (const capacity of rank(capacities, request.spec)) {
    if (left <= 0) break;
    const used = inZone.get(capacity.zone) ?? 0;
    const here = Math.min(howMany(request.spec, roomFor(request, capacity, reach), left), zoneCap - used);
    if (here <= 0) continue;
    chosen.push({ capacity, count: here });
    inZone.set(capacity.zone, used + here);
    left -= here;
  }
  return chosen;
};

/** The candidate zones of an ask: one entry for each set of machines that it may use together. */
const zonesOf = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
): Map<string, AvailableCapacity[]> => {
  const zones = new Map<string, AvailableCapacity[]>();
  const occupied = [...request.inZones].filter(([, count]) => count > 0).map(([zone]) => zone);
  for (const capacity of capacities) {
    const zone = request.spec.oneZone ? capacity.zone : '';
    // Once some tasks run, only the zone that holds them counts.
    if (request.spec.oneZone && occupied.length > 0 && !occupied.every((held) => held === zone)) continue;
    const list = zones.get(zone);
    if (list) list.push(capacity);
    else zones.set(zone, [capacity]);
  }
  return zones;
};

/** Tasks put on machines that the request may use together. */
interface Candidate {
  readonly score: number;
  readonly count: number;
  readonly chosen: readonly { readonly capacity: AvailableCapacity; readonly count: number }[];
}

/** The candidate that holds most of the tasks wanted, and of those the fullest. */
const bestCandidate = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  want: number,
  reach: Reach,
): Candidate | null => {
  const gang = request.spec.kind === 'gang';
  const zoneCap = request.spec.spread
    ? Math.ceil(request.spec.tasks * SPREAD_ZONE_FRACTION)
    : Number.POSITIVE_INFINITY;
  const fits = usable(request, capacities, reach);
  let best: Candidate | null = null;
  for (const [zone, candidates] of [...zonesOf(request, fits)].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const chosen = fill(request, candidates, want, zoneCap, reach);
    const count = chosen.reduce((sum, entry) => sum + entry.count, 0);
    if (count === 0 || (gang && count < request.spec.tasks)) continue;
    const score = fullness(
      zone === '' ? candidates : capacities.filter((capacity) => capacity.zone === zone),
    );
    if (!best || count > best.count || (count === best.count && score > best.score + AMOUNT_TOLERANCE)) {
      best = { score, count, chosen };
    }
  }
  return best;
};

/** Places one request: the whole gang or nothing, of other jobs as many tasks as fit. */
const packRequest = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  mostTasks: number,
): readonly Assignment[] => {
  const want = Math.min(request.waiting.length, mostTasks);
  if (want <= 0 || (request.spec.kind === 'gang' && want < request.spec.tasks)) return [];
  let best = bestCandidate(request, capacities, want, 'beside');
  // Work that may use spot machines never takes more than is over.
  if ((best?.count ?? 0) < want && request.hasAlternatives && !request.spec.spot)
    best = bestCandidate(request, capacities, want, 'all');
  if (!best) return [];
  const assignments: Assignment[] = [];
  let next = 0;
  for (const { capacity, count } of best.chosen) {
    take(capacity, request, count);
    for (let k = 0; k < count; k += 1) {
      const index = request.waiting[next];
      next += 1;
      if (index !== undefined) assignments.push({ job: request.job, index, machine: capacity.id });
    }
  }
  return assignments;
};

/** The outcome of packing a list of requests. */
export interface PackingResult {
  readonly assignments: readonly Assignment[];
  /** What found no room, with the number of tasks that the limit allows and that still wait. */
  readonly left: readonly { readonly request: PlacementRequest; readonly count: number }[];
}

const dueAt = (request: PlacementRequest): number =>
  request.spec.deadlineS === null ? Number.MAX_SAFE_INTEGER : request.at + request.spec.deadlineS * 1000;

/**
 * Most important first; then what machines are gathered for; then work that has no spot machines to go to;
 * then work within its team's guarantee; then by targets; then the shortest; then by deadline; then the
 * oldest.
 */
export const order = (requests: readonly PlacementRequest[]): readonly PlacementRequest[] =>
  [...requests].sort(
    (a, b) =>
      b.spec.priority - a.spec.priority ||
      Number(b.hasReservation) - Number(a.hasReservation) ||
      Number(a.spec.spot) - Number(b.spec.spot) ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      a.attainableObjective - b.attainableObjective ||
      a.spec.estimateS - b.spec.estimateS ||
      dueAt(a) - dueAt(b) ||
      a.at - b.at ||
      (a.job < b.job ? -1 : 1),
  );

/** Places requests in their order within the teams' limits. */
export const packRequests = (
  requests: readonly PlacementRequest[],
  capacities: readonly AvailableCapacity[],
  limits: ReadonlyMap<string, TeamLimit>,
  uses: Map<string, TeamUsage>,
): PackingResult => {
  const assignments: Assignment[] = [];
  const left: { request: PlacementRequest; count: number }[] = [];
  const unplaceable = new UnplaceableRequests();
  /** What each team would use if all that waits had its room: a plan must not pass the limit either. */
  const planned = new Map([...uses].map(([team, use]) => [team, { ...use }]));
  for (const request of requests) {
    const limit = limits.get(request.spec.team);
    if (!limit) continue;
    const use = uses.get(request.spec.team) ?? { cpus: 0, gpus: 0 };
    const plan = planned.get(request.spec.team) ?? { cpus: 0, gpus: 0 };
    uses.set(request.spec.team, use);
    planned.set(request.spec.team, plan);
    const gang = request.spec.kind === 'gang';
    const allowed = quotaRoom(request.spec, limit, use, request.waiting.length);
    if (allowed === 0 || (gang && allowed < request.spec.tasks)) continue;
    const plain = request.failedOn.size === 0 && request.inZones.size === 0 && !request.hasReservation;
    const placed = plain && unplaceable.covers(request) ? [] : packRequest(request, capacities, allowed);
    if (placed.length < allowed && plain) unplaceable.add(request);
    assignments.push(...placed);
    use.cpus += request.spec.cpus * placed.length;
    use.gpus += request.spec.gpus * placed.length;
    const wish = quotaRoom(request.spec, limit, plan, allowed);
    const count = gang && wish < request.spec.tasks ? 0 : Math.max(0, wish - placed.length);
    if (count > 0) left.push({ request, count });
    plan.cpus += request.spec.cpus * (placed.length + count);
    plan.gpus += request.spec.gpus * (placed.length + count);
  }
  return { assignments, left };
};
