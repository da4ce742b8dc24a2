/**
 * Computes the demand of a shard that remains once the machines that are expected soon are counted, for the
 * leader. No state; it packs the unplaced requests into the capacity that the round left free, and so
 * subtracts from the given capacities and adds to the given usages. `ShardSummaryBuilder` calls it.
 */
import { MAX_DEMAND_CLASSES } from '../constants/peers.js';
import { MAX_TASKS_PER_PLACEMENT_REQUEST } from '../constants/placement.js';
import {
  ARRAY_RESERVATION_DELAY_MS,
  DEFAULT_RESERVATION_DELAY_MS,
  MAX_RESERVATION_DELAY_MS,
  RESERVATION_DELAY_TARGET_FRACTION,
} from '../constants/reservations.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import type { UnmetDemand, WaitingGang } from '../fleet/shard-summary.js';
import { fittingTaskCount, placeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import { packRequests } from './bin-packing.js';
import type { AvailableCapacity, PlacementRequest, UnplacedRequest } from './placement-model.js';
import type { TeamLimit, TeamUsage } from './team-limits.js';
import type { Objectives } from './urgency.js';

/** The inputs from which the unmet demand of a round is computed. */
export interface DemandInputs {
  readonly unplaced: readonly UnplacedRequest[];
  readonly capacities: readonly AvailableCapacity[];
  readonly limits: ReadonlyMap<string, TeamLimit>;
  /** By team; the tasks that fit on machines that are expected soon are added. */
  readonly usages: Map<string, TeamUsage>;
  readonly catalog: Catalog;
  readonly objectives: ReadonlyMap<string, Objectives>;
  /** ms since the epoch. */
  readonly wall: number;
}

/**
 * Requests belong to one class if they have the same constraints and every machine type holds equally many of
 * their tasks: jobs whose amounts differ slightly would otherwise be separate demands to the planner, each
 * with machines of its own.
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
 * ms that a job waits before machines are reserved for it. A gang that no zone has capacity for waits half of
 * its class's loosest start target; an array or service waits longer, since any machine that becomes free is
 * enough for it to start.
 */
const reserveDelayMs = (spec: JobSpec, objectives: ReadonlyMap<string, Objectives>): number => {
  if (spec.kind !== 'gang') return ARRAY_RESERVATION_DELAY_MS;
  const target = objectives.get(spec.jobClass)?.wait.at(-1);
  return target === undefined
    ? DEFAULT_RESERVATION_DELAY_MS
    : Math.min(MAX_RESERVATION_DELAY_MS, target * 1000 * RESERVATION_DELAY_TARGET_FRACTION);
};

/** The demand of one class: the sum of its tasks, and the largest amounts that one of them needs. */
interface DemandClass extends UnmetDemand {
  tasks: number;
  gangs: WaitingGang[];
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Requests that find no capacity even on the machines that are expected soon. */
const unplacedOnExpectedMachines = (inputs: DemandInputs): readonly UnplacedRequest[] =>
  packRequests(
    // Machines that were provisioned for this work must count for it before it may use them, or they are
    // provisioned again. Machines that were provisioned for work that may not use spot machines must not be
    // planned for work that may.
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

/** The jobs for which machines may be reserved: gangs, and other jobs none of whose tasks has begun. */
const reservationCandidates = (
  { request, count }: UnplacedRequest,
  waitedMs: number,
  objectives: ReadonlyMap<string, Objectives>,
): WaitingGang[] => {
  const { spec, waiting } = request;
  const noTaskBegun = waiting.length >= Math.min(spec.tasks, MAX_TASKS_PER_PLACEMENT_REQUEST);
  if (spec.kind !== 'gang' && !noTaskBegun) return [];
  return [{ job: spec.id, tasks: count, waitedMs, reserveAfterMs: reserveDelayMs(spec, objectives) }];
};

/** By zone: tasks of a one-zone job that it has capacity for, at most `count` per machine; else empty. */
const zoneCapacityFor = (
  request: PlacementRequest,
  count: number,
  capacities: readonly AvailableCapacity[],
): Record<string, number> => {
  const { spec } = request;
  const tasksByZone: Record<string, number> = {};
  if (!spec.oneZone) return tasksByZone;
  for (const capacity of capacities) {
    const { empty, reservedFor, zone } = capacity;
    const reservedForAnother = empty && reservedFor !== null && reservedFor.job !== request.job;
    if (!placeAllowed(spec, capacity) || reservedForAnother) continue;
    tasksByZone[zone] = (tasksByZone[zone] ?? 0) + fittingTaskCount(spec, capacity.free, count);
  }
  return tasksByZone;
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
 * The demand that remains once the machines that are expected soon are counted: one entry per class, in
 * placement order, at most `MAX_DEMAND_CLASSES`.
 */
export const unmetDemand = (inputs: DemandInputs): readonly UnmetDemand[] => {
  const classes = new Map<string, DemandClass>();
  for (const entry of unplacedOnExpectedMachines(inputs)) {
    const { request, count } = entry;
    const key = demandClassKey(request.spec, request.urgency.provision, inputs.catalog);
    const waitedMs = inputs.wall - request.waitingSince;
    const gangs = reservationCandidates(entry, waitedMs, inputs.objectives);
    const known = classes.get(key);
    if (known) addToClass(known, request, count, gangs);
    else if (classes.size < MAX_DEMAND_CLASSES)
      classes.set(key, createClass(entry, waitedMs, gangs, inputs.capacities));
  }
  return [...classes.values()];
};
