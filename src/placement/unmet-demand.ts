/**
 * What a shard still needs once the machines that are coming are counted, as the leader is told. Pure: it
 * packs what is unplaced on copies of the machines' room. `ShardSummaryBuilder` calls it.
 */
import { MAX_DEMAND_CLASSES } from '../constants/peers.js';
import { MAX_TASKS_PER_PLACEMENT_REQUEST } from '../constants/placement.js';
import {
  ARRAY_RESERVE_DELAY_MS,
  DEFAULT_RESERVE_DELAY_MS,
  MAX_RESERVE_DELAY_MS,
  RESERVE_DELAY_TARGET_FRACTION,
} from '../constants/reservations.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import type { UnmetDemand, WaitingGang } from '../fleet/shard-summary.js';
import { fittingTaskCount, placeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import { packRequests } from './bin-packing.js';
import type { AvailableCapacity, PlacementRequest, UnplacedRequest } from './placement-model.js';
import type { TeamLimit, TeamUsage } from './team-limits.js';
import type { Objectives } from './urgency.js';

/** What the unmet demand of a round is worked out from. */
export interface DemandInputs {
  readonly unplaced: readonly UnplacedRequest[];
  readonly capacities: readonly AvailableCapacity[];
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** By team; what the coming machines will take is added to it. */
  readonly usages: Map<string, TeamUsage>;
  readonly catalog: Catalog;
  readonly objectives: ReadonlyMap<string, Objectives>;
  /** ms since the epoch. */
  readonly wall: number;
}

/**
 * Demands that every type of machine holds equally often are one class to the planner: jobs whose amounts
 * differ a little each would otherwise be as many demands, each with machines of its own.
 */
const demandClassKey = (spec: JobSpec, urgent: boolean, catalog: Catalog): string =>
  [
    spec.kind,
    spec.types?.join('+') ?? '*',
    spec.zone ?? '*',
    spec.oneZone,
    spec.spot,
    spec.priority,
    urgent,
    ...[...catalog.values()].map((type) => fittingTaskCount(spec, type, MAX_TASKS_PER_JOB)),
  ].join('|');

/**
 * ms that a job waits before machines are reserved for it: a gang that no zone has room for, half of its
 * class's loosest start target; an array longer, since any machine that comes free will do for a start.
 */
const reserveDelayMs = (spec: JobSpec, objectives: ReadonlyMap<string, Objectives>): number => {
  if (spec.kind !== 'gang') return ARRAY_RESERVE_DELAY_MS;
  const target = objectives.get(spec.jobClass)?.wait.at(-1);
  return target === undefined
    ? DEFAULT_RESERVE_DELAY_MS
    : Math.min(MAX_RESERVE_DELAY_MS, target * 1000 * RESERVE_DELAY_TARGET_FRACTION);
};

/** Requests of one class, added up. */
interface DemandClass extends UnmetDemand {
  tasks: number;
  gangs: WaitingGang[];
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What finds no room on the machines that are up or coming either. */
const unplacedOnComing = (inputs: DemandInputs): readonly UnplacedRequest[] =>
  packRequests(
    // What was provisioned for this work must count for it before it may be used, or it is provisioned again;
    // what was provisioned for work that can use no spot must not be planned away for work that can.
    inputs.unplaced.map(({ request, count }) => ({
      ...request,
      waiting: request.waiting.slice(-count),
      mayUseOnDemand: request.urgency.provision,
    })),
    inputs.capacities.map((capacity) =>
      capacity.live || capacity.withheldFromSpotWork === 'always'
        ? capacity
        : { ...capacity, withheldFromSpotWork: 'never' as const },
    ),
    inputs.limits,
    inputs.usages,
  ).unplaced;

/**
 * The jobs for which machines may be reserved: gangs, and of the others only those of which nothing has
 * begun.
 */
const waitingGangs = (
  { request, count }: UnplacedRequest,
  waitedMs: number,
  objectives: ReadonlyMap<string, Objectives>,
): WaitingGang[] => {
  const { spec, waiting } = request;
  const nothingBegun = waiting.length >= Math.min(spec.tasks, MAX_TASKS_PER_PLACEMENT_REQUEST);
  if (spec.kind !== 'gang' && !nothingBegun) return [];
  return [{ job: spec.id, tasks: count, waitedMs, reserveAfterMs: reserveDelayMs(spec, objectives) }];
};

/** Tasks of a one-zone job that each zone has room for, at most `count` a machine; of other jobs nothing. */
const zoneCapacityFor = (
  request: PlacementRequest,
  count: number,
  capacities: readonly AvailableCapacity[],
): Record<string, number> => {
  const { spec } = request;
  const room: Record<string, number> = {};
  if (!spec.oneZone) return room;
  for (const capacity of capacities) {
    const { empty, reservedFor, zone } = capacity;
    const reservedForAnother = empty && reservedFor !== null && reservedFor.job !== request.job;
    if (!placeAllowed(spec, capacity) || reservedForAnother) continue;
    room[zone] = (room[zone] ?? 0) + fittingTaskCount(spec, capacity.free, count);
  }
  return room;
};

const addToClass = (
  known: DemandClass,
  { spec }: PlacementRequest,
  count: number,
  gangs: WaitingGang[],
): void => {
  known.tasks += count;
  known.gangs.push(...gangs);
  known.cpus = Math.max(known.cpus, spec.cpus);
  known.gpus = Math.max(known.gpus, spec.gpus);
  known.memoryGb = Math.max(known.memoryGb, spec.memoryGb);
};

const createClass = (
  { request, count }: UnplacedRequest,
  waitedMs: number,
  gangs: WaitingGang[],
  capacities: readonly AvailableCapacity[],
): DemandClass => {
  const { spec, urgency } = request;
  return {
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    types: spec.types,
    zone: spec.zone,
    spot: spec.spot,
    gang: spec.kind === 'gang',
    oneZone: spec.oneZone,
    urgent: urgency.provision,
    priority: spec.priority,
    tasks: count,
    gangs,
    zoneCapacity: zoneCapacityFor(request, count, capacities),
    waitedMs,
  };
};

/**
 * What is still needed once the machines that are coming are counted: one entry a class, the most urgent
 * first, at most `MAX_DEMAND_CLASSES`.
 */
export const unmetDemand = (inputs: DemandInputs): readonly UnmetDemand[] => {
  const classes = new Map<string, DemandClass>();
  for (const entry of unplacedOnComing(inputs)) {
    const { request, count } = entry;
    const key = demandClassKey(request.spec, request.urgency.provision, inputs.catalog);
    const waitedMs = inputs.wall - request.waitingSince;
    const gangs = waitingGangs(entry, waitedMs, inputs.objectives);
    const known = classes.get(key);
    if (known) addToClass(known, request, count, gangs);
    else if (classes.size < MAX_DEMAND_CLASSES)
      classes.set(key, createClass(entry, waitedMs, gangs, inputs.capacities));
  }
  return [...classes.values()];
};
