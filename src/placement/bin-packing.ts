/**
 * Puts the tasks of requests on machines, in the order of the requests and within the teams' limits. Pure
 * but for the room and the usage that it is given, which it takes from. `Shard` calls it in each round,
 * `unmetDemand` for machines that are coming.
 */
import { AMOUNT_TOLERANCE, SPREAD_ZONE_FRACTION } from '../constants/placement.js';
import { fittingTaskCount } from '../jobs/model.js';
import {
  bestFirst,
  utilization,
  allocate,
  capacityFor,
  usableCapacities,
  type CapacityScope,
} from './capacity-selection.js';
import type { Assignment, AvailableCapacity, PlacementRequest, UnplacedRequest } from './placement-model.js';
import { tasksWithinLimit, type TeamLimit, type TeamUsage } from './team-limits.js';
import { UnplaceableRequests } from './unplaceable-requests.js';

/** Tasks on one machine. */
interface Portion {
  readonly capacity: AvailableCapacity;
  readonly count: number;
}

/** Puts as many of the tasks as fit on machines, the best first, within what a zone may take. */
const fill = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  count: number,
  zoneCap: number,
  reach: CapacityScope,
): readonly Portion[] => {
  const chosen: Portion[] = [];
  const inZone = new Map(request.tasksByZone);
  let left = count;
  for (const capacity of bestFirst(capacities, request.spec)) {
    if (left <= 0) break;
    const used = inZone.get(capacity.zone) ?? 0;
    const here = Math.min(
      fittingTaskCount(request.spec, capacityFor(request, capacity, reach), left),
      zoneCap - used,
    );
    if (here <= 0) continue;
    chosen.push({ capacity, count: here });
    inZone.set(capacity.zone, used + here);
    left -= here;
  }
  return chosen;
};

/** The candidate zones of a request: one entry for each set of machines that it may use together. */
const candidateZones = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
): Map<string, AvailableCapacity[]> => {
  const zones = new Map<string, AvailableCapacity[]>();
  const occupied = [...request.tasksByZone].filter(([, count]) => count > 0).map(([zone]) => zone);
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
  readonly chosen: readonly Portion[];
}

/** The candidate that holds most of the tasks wanted, and of those the fullest. */
const bestCandidate = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  want: number,
  reach: CapacityScope,
): Candidate | null => {
  const gang = request.spec.kind === 'gang';
  const zoneCap = request.spec.spread
    ? Math.ceil(request.spec.tasks * SPREAD_ZONE_FRACTION)
    : Number.POSITIVE_INFINITY;
  const fits = usableCapacities(request, capacities, reach);
  let best: Candidate | null = null;
  for (const [zone, candidates] of [...candidateZones(request, fits)].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const chosen = fill(request, candidates, want, zoneCap, reach);
    const count = chosen.reduce((sum, entry) => sum + entry.count, 0);
    if (count === 0 || (gang && count < request.spec.tasks)) continue;
    const score = utilization(
      zone === '' ? candidates : capacities.filter((capacity) => capacity.zone === zone),
    );
    if (!best || count > best.count || (count === best.count && score > best.score + AMOUNT_TOLERANCE)) {
      best = { score, count, chosen };
    }
  }
  return best;
};

/** Takes the room of a candidate, for the first tasks that wait. */
const assign = (request: PlacementRequest, candidate: Candidate): readonly Assignment[] => {
  const assignments: Assignment[] = [];
  let next = 0;
  for (const { capacity, count } of candidate.chosen) {
    allocate(capacity, request, count);
    for (let k = 0; k < count; k += 1) {
      const index = request.waiting[next];
      next += 1;
      if (index !== undefined) assignments.push({ job: request.job, index, machine: capacity.id });
    }
  }
  return assignments;
};

/** Places one request: the whole gang or nothing, of other jobs as many tasks as fit. */
const packRequest = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  mostTasks: number,
): readonly Assignment[] => {
  const want = Math.min(request.waiting.length, mostTasks);
  if (want <= 0 || (request.spec.kind === 'gang' && want < request.spec.tasks)) return [];
  let best = bestCandidate(request, capacities, want, 'leftover');
  // Work that may use spot machines never takes more than is left over.
  if ((best?.count ?? 0) < want && request.hasAlternatives && !request.spec.spot)
    best = bestCandidate(request, capacities, want, 'all');
  if (!best) return [];
  return assign(request, best);
};

/** The outcome of packing a list of requests. */
export interface PackingResult {
  readonly assignments: readonly Assignment[];
  /** What found no room, with the number of tasks that the limit allows and that still wait. */
  readonly unplaced: readonly UnplacedRequest[];
}

const addUsage = (usage: TeamUsage, { spec }: PlacementRequest, tasks: number): void => {
  usage.cpus += spec.cpus * tasks;
  usage.gpus += spec.gpus * tasks;
};

/** A team's entry, made where there is none. */
const usageOf = (usages: Map<string, TeamUsage>, team: string): TeamUsage => {
  let usage = usages.get(team);
  if (!usage) usages.set(team, (usage = { cpus: 0, gpus: 0 }));
  return usage;
};

/** Places requests in their order within the teams' limits; adds what is placed to `usages`. */
export const packRequests = (
  requests: readonly PlacementRequest[],
  capacities: readonly AvailableCapacity[],
  limits: ReadonlyMap<string, TeamLimit>,
  usages: Map<string, TeamUsage>,
): PackingResult => {
  const assignments: Assignment[] = [];
  const unplaced: UnplacedRequest[] = [];
  const unplaceable = new UnplaceableRequests();
  /** What each team would use if all that waits had its room: a plan must not pass the limit either. */
  const plannedUsages = new Map([...usages].map(([team, usage]) => [team, { ...usage }]));
  for (const request of requests) {
    const { spec, waiting } = request;
    const limit = limits.get(spec.team);
    if (!limit) continue;
    const usage = usageOf(usages, spec.team);
    const planned = usageOf(plannedUsages, spec.team);
    const gang = spec.kind === 'gang';
    const allowed = tasksWithinLimit(spec, limit, usage, waiting.length);
    if (allowed === 0 || (gang && allowed < spec.tasks)) continue;
    // Requests with places of their own say nothing about others.
    const plain = request.failedOn.size === 0 && request.tasksByZone.size === 0 && !request.hasReservation;
    const placed = plain && unplaceable.covers(request) ? [] : packRequest(request, capacities, allowed);
    if (placed.length < allowed && plain) unplaceable.add(request);
    assignments.push(...placed);
    addUsage(usage, request, placed.length);
    const wanted = tasksWithinLimit(spec, limit, planned, allowed);
    const count = gang && wanted < spec.tasks ? 0 : Math.max(0, wanted - placed.length);
    if (count > 0) unplaced.push({ request, count });
    addUsage(planned, request, placed.length + count);
  }
  return { assignments, unplaced };
};
