/**
 * Assigns the tasks of requests to machines, in the order of the requests and within the teams' limits. Pure,
 * except that it subtracts from the given capacities and adds to the given usages. `Shard` calls it in each
 * round, `unmetDemand` for planning with machines that are expected soon.
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

/** A number of tasks on one machine. */
interface MachineAllocation {
  readonly capacity: AvailableCapacity;
  readonly count: number;
}

/**
 * Chooses machines for as many of `count` tasks as fit, the best machine first. No zone gets more than
 * `maxTasksPerZone` tasks of the job, including those that it holds already.
 */
const chooseMachines = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  count: number,
  maxTasksPerZone: number,
  scope: CapacityScope,
): readonly MachineAllocation[] => {
  const allocations: MachineAllocation[] = [];
  const tasksInZone = new Map(request.tasksByZone);
  let remaining = count;
  for (const capacity of bestFirst(capacities, request.spec)) {
    if (remaining <= 0) break;
    const used = tasksInZone.get(capacity.zone) ?? 0;
    const tasksHere = Math.min(
      fittingTaskCount(request.spec, capacityFor(request, capacity, scope), remaining),
      maxTasksPerZone - used,
    );
    if (tasksHere <= 0) continue;
    allocations.push({ capacity, count: tasksHere });
    tasksInZone.set(capacity.zone, used + tasksHere);
    remaining -= tasksHere;
  }
  return allocations;
};

/** Machines that a request may use together: by zone for a one-zone job, else all under ''. */
const candidateZones = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
): Map<string, AvailableCapacity[]> => {
  const zones = new Map<string, AvailableCapacity[]>();
  const occupiedZones = [...request.tasksByZone].filter(([, count]) => count > 0).map(([zone]) => zone);
  for (const capacity of capacities) {
    const zone = request.spec.oneZone ? capacity.zone : '';
    // Once tasks of a one-zone job are on machines, only the zone that holds them counts.
    if (
      request.spec.oneZone &&
      occupiedZones.length > 0 &&
      !occupiedZones.every((occupied) => occupied === zone)
    )
      continue;
    const list = zones.get(zone);
    if (list) list.push(capacity);
    else zones.set(zone, [capacity]);
  }
  return zones;
};

/** A choice of machines that a request may use together. */
interface Candidate {
  /** Utilization of the zone, or of all usable machines; higher is better. */
  readonly score: number;
  readonly count: number;
  readonly allocations: readonly MachineAllocation[];
}

/**
 * The candidate that places the most of the wanted tasks, and of those with equally many the one with the
 * highest utilization. Null: no task fits, or not the whole gang.
 */
const bestCandidate = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  want: number,
  scope: CapacityScope,
): Candidate | null => {
  const isGang = request.spec.kind === 'gang';
  const maxTasksPerZone = request.spec.spread
    ? Math.ceil(request.spec.tasks * SPREAD_ZONE_FRACTION)
    : Number.POSITIVE_INFINITY;
  const fits = usableCapacities(request, capacities, scope);
  let best: Candidate | null = null;
  for (const [zone, candidates] of [...candidateZones(request, fits)].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const allocations = chooseMachines(request, candidates, want, maxTasksPerZone, scope);
    const count = allocations.reduce((sum, entry) => sum + entry.count, 0);
    if (count === 0 || (isGang && count < request.spec.tasks)) continue;
    const score = utilization(
      zone === '' ? candidates : capacities.filter((capacity) => capacity.zone === zone),
    );
    if (!best || count > best.count || (count === best.count && score > best.score + AMOUNT_TOLERANCE)) {
      best = { score, count, allocations };
    }
  }
  return best;
};

/** Allocates the capacity of a candidate to the first waiting tasks of the request. */
const assign = (request: PlacementRequest, candidate: Candidate): readonly Assignment[] => {
  const assignments: Assignment[] = [];
  let next = 0;
  for (const { capacity, count } of candidate.allocations) {
    allocate(capacity, request, count);
    for (let k = 0; k < count; k += 1) {
      const index = request.waiting[next];
      next += 1;
      if (index !== undefined) assignments.push({ job: request.job, index, machine: capacity.id });
    }
  }
  return assignments;
};

/** Places one request: a gang whole or not at all, of other jobs as many tasks as fit. */
const packRequest = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  maxTasks: number,
): readonly Assignment[] => {
  const want = Math.min(request.waiting.length, maxTasks);
  if (want <= 0 || (request.spec.kind === 'gang' && want < request.spec.tasks)) return [];
  let best = bestCandidate(request, capacities, want, 'leftover');
  // Work that may use spot machines never uses more than the leftover capacity of withheld machines.
  if ((best?.count ?? 0) < want && request.hasAlternatives && !request.spec.spot)
    best = bestCandidate(request, capacities, want, 'all');
  if (!best) return [];
  return assign(request, best);
};

/** The outcome of packing a list of requests. */
export interface PackingResult {
  readonly assignments: readonly Assignment[];
  /** Requests with waiting tasks that the team's limit allows and that found no capacity. */
  readonly unplaced: readonly UnplacedRequest[];
}

const addUsage = (usage: TeamUsage, { spec }: PlacementRequest, tasks: number): void => {
  usage.cpus += spec.cpus * tasks;
  usage.gpus += spec.gpus * tasks;
};

/** The usage of a team, added as zero if it has none yet. */
const getOrCreateUsage = (usages: Map<string, TeamUsage>, team: string): TeamUsage => {
  let usage = usages.get(team);
  if (!usage) usages.set(team, (usage = { cpus: 0, gpus: 0 }));
  return usage;
};

/** Places requests in their order within the teams' limits, and adds the placed tasks to `usages`. */
export const packRequests = (
  requests: readonly PlacementRequest[],
  capacities: readonly AvailableCapacity[],
  limits: ReadonlyMap<string, TeamLimit>,
  usages: Map<string, TeamUsage>,
): PackingResult => {
  const assignments: Assignment[] = [];
  const unplaced: UnplacedRequest[] = [];
  const unplaceable = new UnplaceableRequests();
  /**
   * By team: the usage if all waiting tasks that count as unplaced also ran. Machines must not be planned
   * for more tasks than the limit allows.
   */
  const plannedUsages = new Map([...usages].map(([team, usage]) => [team, { ...usage }]));
  for (const request of requests) {
    const { spec, waiting } = request;
    const limit = limits.get(spec.team);
    if (!limit) continue;
    const usage = getOrCreateUsage(usages, spec.team);
    const planned = getOrCreateUsage(plannedUsages, spec.team);
    const isGang = spec.kind === 'gang';
    const allowed = tasksWithinLimit(spec, limit, usage, waiting.length);
    if (allowed === 0 || (isGang && allowed < spec.tasks)) continue;
    // A request with failed machines, tasks in zones or a reservation does not show what others can use.
    const isComparable =
      request.failedOn.size === 0 && request.tasksByZone.size === 0 && !request.hasReservation;
    const placed =
      isComparable && unplaceable.covers(request) ? [] : packRequest(request, capacities, allowed);
    if (placed.length < allowed && isComparable) unplaceable.add(request);
    assignments.push(...placed);
    addUsage(usage, request, placed.length);
    const wanted = tasksWithinLimit(spec, limit, planned, allowed);
    const count = isGang && wanted < spec.tasks ? 0 : Math.max(0, wanted - placed.length);
    if (count > 0) unplaced.push({ request, count });
    addUsage(planned, request, placed.length + count);
  }
  return { assignments, unplaced };
};
