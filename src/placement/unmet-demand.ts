import { MAX_DEMAND_CLASSES, MAX_SPARES_PER_KIND } from '../constants/peers.js';
import { MAX_TASKS_PER_PLACEMENT_REQUEST } from '../constants/placement.js';
import {
  ARRAY_RESERVE_DELAY_MS,
  DEFAULT_RESERVE_DELAY_MS,
  MAX_RESERVE_DELAY_MS,
  RESERVE_DELAY_TARGET_FRACTION,
} from '../constants/reservations.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import type {
  UnlistedSpares,
  UnmetDemand,
  SpareMachine,
  ShardSummary,
  WaitingGang,
} from '../fleet/records.js';
import { howMany, placeAllowed, type Catalog, type JobSpec } from '../jobs/model.js';
import {
  packRequests,
  type PlacementRequest,
  type TeamLimit,
  type AvailableCapacity,
  type TeamUsage,
} from './bin-packing.js';
import type { ShardMachine } from './shard-model.js';
import type { Objectives } from './urgency.js';

/** A request with the number of its tasks that found no room. */
export interface UnplacedRequest {
  readonly request: PlacementRequest;
  readonly count: number;
}

/**
 * Demands that every type of machine holds equally often are one class to the planner: jobs whose amounts
 * differ a little each would otherwise be as many needs, each with machines of its own.
 */
const needClass = (spec: JobSpec, urgent: boolean, catalog: Catalog): string =>
  [
    spec.kind,
    spec.types?.join('+') ?? '*',
    spec.zone ?? '*',
    spec.oneZone,
    spec.spot,
    spec.priority,
    urgent,
    ...[...catalog.values()].map((type) => howMany(spec, type, MAX_TASKS_PER_JOB)),
  ].join('|');

/**
 * How long a job waits before machines are gathered for it: a gang that no zone has room for, half of its
 * class's loosest start target; an array longer, since any machine that comes free will do for a start.
 */
const patience = (spec: JobSpec, objectives: ReadonlyMap<string, Objectives>): number => {
  if (spec.kind !== 'gang') return ARRAY_RESERVE_DELAY_MS;
  const target = objectives.get(spec.jobClass)?.wait.at(-1);
  return target === undefined
    ? DEFAULT_RESERVE_DELAY_MS
    : Math.min(MAX_RESERVE_DELAY_MS, target * 1000 * RESERVE_DELAY_TARGET_FRACTION);
};

interface Open extends UnmetDemand {
  tasks: number;
  gangs: WaitingGang[];
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/**
 * What is still needed once the machines that are coming are counted: one entry a class, the most urgent
 * first.
 */
export const unmetDemand = (
  left: readonly UnplacedRequest[],
  capacities: readonly AvailableCapacity[],
  limits: ReadonlyMap<string, TeamLimit>,
  uses: Map<string, TeamUsage>,
  catalog: Catalog,
  objectives: ReadonlyMap<string, Objectives>,
  wall: number,
): readonly UnmetDemand[] => {
  const coming = packRequests(
    // What was rented for this work must count for it before it may be used, or it is rented again; what was
    // rented for work that can use no spot must not be planned away for work that can.
    left.map(({ request, count }) => ({
      ...request,
      waiting: request.waiting.slice(-count),
      mayUseOnDemand: request.urgency.provision,
    })),
    capacities.map((capacity) =>
      capacity.live || capacity.withheldFromSpotWork === 'always'
        ? capacity
        : { ...capacity, withheldFromSpotWork: 'no' as const },
    ),
    limits,
    uses,
  );
  const needs = new Map<string, Open>();
  for (const { request, count } of coming.left) {
    const { spec } = request;
    const key = needClass(spec, request.urgency.provision, catalog);
    const waitedMs = wall - request.at;
    // Of the others only those of which nothing has begun.
    const listed =
      spec.kind === 'gang' || request.waiting.length >= Math.min(spec.tasks, MAX_TASKS_PER_PLACEMENT_REQUEST);
    const gang = listed
      ? [{ job: spec.id, tasks: count, waitedMs, reserveAfterMs: patience(spec, objectives) }]
      : [];
    const known = needs.get(key);
    if (known) {
      known.tasks += count;
      known.gangs.push(...gang);
      known.cpus = Math.max(known.cpus, spec.cpus);
      known.gpus = Math.max(known.gpus, spec.gpus);
      known.memoryGb = Math.max(known.memoryGb, spec.memoryGb);
      continue;
    }
    if (needs.size >= MAX_DEMAND_CLASSES) continue;
    const room: Record<string, number> = {};
    if (spec.oneZone) {
      for (const free of capacities) {
        if (
          !placeAllowed(spec, free) ||
          (free.empty && free.reservedFor && free.reservedFor.job !== request.job)
        )
          continue;
        room[free.zone] = (room[free.zone] ?? 0) + howMany(spec, free.free, count);
      }
    }
    needs.set(key, {
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      types: spec.types,
      zone: spec.zone,
      spot: spec.spot,
      gang: spec.kind === 'gang',
      oneZone: spec.oneZone,
      urgent: request.urgency.provision,
      priority: spec.priority,
      tasks: count,
      gangs: gang,
      zoneCapacity: room,
      waitedMs,
    });
  }
  return [...needs.values()];
};

/** Free machines that may go to another share. */
export interface Spares {
  /** A few of each kind, those that have been idle longest. */
  readonly listed: readonly SpareMachine[];
  /** How many more there are; they are named as the first ones leave. */
  readonly unlisted: readonly UnlistedSpares[];
}

/** Free machines that may go to another share: a few of each kind by name, of the others their number. */
export const spareMachines = (machines: Iterable<ShardMachine>, now: number): Spares => {
  const kinds = new Map<string, SpareMachine[]>();
  for (const machine of machines) {
    const key = `${machine.type}|${machine.zone}|${machine.spot}`;
    const list = kinds.get(key) ?? [];
    kinds.set(key, list);
    list.push({
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      idleS: machine.idleSince === null ? 0 : (now - machine.idleSince) / 1000,
    });
  }
  const lists = [...kinds.values()];
  return {
    listed: lists.flatMap((list) => list.sort((a, b) => b.idleS - a.idleS).slice(0, MAX_SPARES_PER_KIND)),
    unlisted: lists.flatMap((list) => {
      const [first] = list;
      if (!first || list.length <= MAX_SPARES_PER_KIND) return [];
      const { type, zone, spot } = first;
      return [{ type, zone, spot, count: list.length - MAX_SPARES_PER_KIND }];
    }),
  };
};

/** What peers that don't lead hear: whether there is a spare of some kind, nothing of needs. */
export const abridgedSummary = (summary: ShardSummary): ShardSummary => {
  const kinds = new Set<string>();
  const spares = summary.spares.filter((spare) => {
    const key = `${spare.type}|${spare.zone}|${spare.spot}`;
    if (kinds.has(key)) return false;
    kinds.add(key);
    return true;
  });
  return { ...summary, needs: [], spares, unlisted: [] };
};
