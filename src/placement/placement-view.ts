/**
 * What waits and where there is room, read from the shard's state for one round. Owns nothing; of machines
 * it sets the cached `free`, of jobs `firstUnfinished`. `Shard` calls it at the start of each round.
 */
import {
  ESTIMATED_IMAGE_FETCH_S,
  GUARANTEED_ON_DEMAND_PATIENCE_S,
  MAX_TASKS_PER_PLACEMENT_REQUEST,
  ON_DEMAND_PATIENCE_S,
  RESERVED_IDLE_MACHINES,
} from '../constants/placement.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { findReservation } from '../fleet/reservation.js';
import type { Reservation } from '../fleet/reservation.js';
import {
  fitsIn,
  hasAlternatives,
  fittingTaskCount,
  typeAllowed,
  type Catalog,
  type Demand,
  type JobSpec,
} from '../jobs/model.js';
import type { ShardContext } from './shard-context.js';
import type { ShardState } from './shard-state.js';
import type { MachineLiveness } from './machine-liveness.js';
import type { PlacementRequest, AvailableCapacity } from './placement-model.js';
import { inPlacementOrder } from './placement-order.js';
import type { TeamUsage } from './team-limits.js';
import {
  bindingKey,
  isFinished,
  type FreeCapacity,
  type ShardJob,
  type ShardMachine,
} from './shard-model.js';
import { missedStartTargets, urgency } from './urgency.js';

/** What one round looks at. */
export interface PlacementView extends Pick<ShardContext, 'scarceDemand' | 'guarantees' | 'objectives'> {
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly catalog: Catalog;
  readonly reservations: readonly Reservation[];
  /** ms on the steady clock. */
  readonly now: number;
  /** ms since the epoch. */
  readonly wall: number;
}

const NOTHING: Demand = { cpus: 0, gpus: 0, memoryGb: 0 };

/** What each team has on machines: everything bound, which includes whatever is not proven gone. */
export const teamUsage = (shardState: ShardState): Map<string, TeamUsage> => {
  const usages = new Map<string, TeamUsage>();
  for (const job of shardState.jobs.values()) {
    const tasks = job.bindings.size;
    if (tasks === 0) continue;
    const use = usages.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    use.cpus += job.spec.cpus * tasks;
    use.gpus += job.spec.gpus * tasks;
    usages.set(job.spec.team, use);
  }
  return usages;
};

const freeCapacityOf = (shardState: ShardState, machine: ShardMachine, catalog: Catalog): FreeCapacity => {
  let { cpus, gpus, memoryGb } = machine.total;
  const others = { cpus: 0, gpus: 0, memoryGb: 0 };
  let dependent = false;
  const subtract = (jobId: string): boolean => {
    const spec = shardState.jobs.get(jobId)?.spec;
    if (!spec) return false;
    cpus -= spec.cpus;
    gpus -= spec.gpus;
    memoryGb -= spec.memoryGb;
    if (hasAlternatives(spec, catalog)) {
      others.cpus += spec.cpus;
      others.gpus += spec.gpus;
      others.memoryGb += spec.memoryGb;
    } else dependent = true;
    return true;
  };
  let clear = true;
  for (const binding of machine.bound.values()) if (!subtract(binding.job)) clear = false;
  for (const task of machine.reportedTasks) {
    if (task.state._tag === 'exited' || machine.bound.has(bindingKey(task.job, task.index, task.attempt)))
      continue;
    // On the machine, but not bound there any more: it is being stopped, and its room is not free yet.
    if (!subtract(task.job)) clear = false;
  }
  return clear
    ? { _tag: 'free', cpus, gpus, memoryGb, usedByFlexibleWork: others, hasDependentWork: dependent }
    : { _tag: 'unclear' };
};

/**
 * What the work that can't do without this type leaves over: what is free once as many of its largest tasks
 * as the machine holds have their room. Only where such work runs already: an empty machine stays free for
 * another shard.
 */
const leftoverCapacityOf = (machine: ShardMachine, free: FreeCapacity, scarce: Demand | null): Demand => {
  if (free._tag === 'unclear' || scarce === null || !free.hasDependentWork) return NOTHING;
  const tasks = fittingTaskCount(scarce, machine.total, MAX_TASKS_PER_JOB);
  const over = (field: keyof Demand): number =>
    Math.max(
      0,
      Math.min(free[field], machine.total[field] - tasks * scarce[field] - free.usedByFlexibleWork[field]),
    );
  return { cpus: over('cpus'), gpus: over('gpus'), memoryGb: over('memoryGb') };
};

/**
 * On-demand machines that some job can't do without are held back from work that can use spot: where that
 * work has other types to go to, always; where it has none, as long as it would take one of the last idle.
 */
const withholdingOf = (
  machine: ShardMachine,
  idle: number,
  view: PlacementView,
): AvailableCapacity['withheldFromSpotWork'] => {
  if (machine.spot || view.scarceDemand(machine.type) === null) return 'never';
  if (view.catalog.size > 1) return 'always';
  return machine.bound.size === 0 && idle <= RESERVED_IDLE_MACHINES ? 'lastIdle' : 'never';
};

const mayTakeTasks = (machine: ShardMachine): boolean =>
  !machine.releasing &&
  !machine.cordoned &&
  machine.reclaimNoticeAt === null &&
  machine.health._tag === 'healthy' &&
  !machine.needsHigherToken;

const countIdleOnDemand = ({ shardState, liveness }: PlacementView): number => {
  let idle = 0;
  for (const machine of shardState.machines.values())
    if (!machine.spot && !machine.releasing && liveness.isIdle(machine)) idle += 1;
  return idle;
};

/** Room on each machine that may take tasks, now or once it is up. */
export const availableCapacity = (view: PlacementView): AvailableCapacity[] => {
  const { shardState, liveness, now, wall } = view;
  const capacities: AvailableCapacity[] = [];
  const idle = countIdleOnDemand(view);
  for (const machine of shardState.machines.values()) {
    if (!mayTakeTasks(machine)) continue;
    const live = liveness.isLive(machine, now);
    if (!live && !liveness.isExpectedSoon(machine, now, wall)) continue;
    machine.free ??= freeCapacityOf(shardState, machine, view.catalog);
    const { free } = machine;
    if (free._tag === 'unclear') continue;
    capacities.push({
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      total: machine.total,
      free: { cpus: free.cpus, gpus: free.gpus, memoryGb: free.memoryGb },
      leftover: { ...leftoverCapacityOf(machine, free, view.scarceDemand(machine.type)) },
      images: machine.images,
      live,
      withheldFromSpotWork: withholdingOf(machine, idle, view),
      reservedFor: findReservation(view.reservations, machine),
      empty: machine.bound.size === 0,
    });
  }
  return capacities;
};

/** s: the shortest nominal boot among the types that the job may use. */
const shortestBootS = (spec: JobSpec, catalog: Catalog): number => {
  let least = Number.POSITIVE_INFINITY;
  for (const type of catalog.values()) {
    if (typeAllowed(spec, type.name) && fitsIn(spec, type)) least = Math.min(least, type.bootS);
  }
  return Number.isFinite(least) ? least : 0;
};

const waitingTasks = (job: ShardJob): readonly number[] => {
  const waiting: number[] = [];
  // A job of 100,000 tasks need not be walked whole each round, but a gang is placed whole.
  const most = job.spec.kind === 'gang' ? job.spec.tasks : MAX_TASKS_PER_PLACEMENT_REQUEST;
  while (job.done.has(job.firstUnfinished)) job.firstUnfinished += 1;
  for (let index = job.firstUnfinished; index < job.spec.tasks && waiting.length < most; index += 1) {
    if (!job.done.has(index) && !job.bindings.has(index)) waiting.push(index);
  }
  return waiting;
};

const tasksByZone = (job: ShardJob, shardState: ShardState): ReadonlyMap<string, number> => {
  const zones = new Map<string, number>();
  // Only these two look at where the other tasks are.
  if (!job.spec.oneZone && !job.spec.spread) return zones;
  for (const binding of job.bindings.values()) {
    const zone = shardState.machines.get(binding.machine)?.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** A job of which a task may be placed now, as far as it alone goes; `left`: its tasks that are not done. */
const mayBePlaced = (job: ShardJob, left: number, now: number): boolean =>
  !job.cancelled &&
  !job.finishing &&
  job.writesInProgress === 0 &&
  now >= job.backoffUntil &&
  job.bindings.size < left &&
  !isFinished(job) &&
  !(job.spec.kind === 'gang' && job.bindings.size > 0);

const isWithinGuarantee = (usage: TeamUsage, guarantee: TeamUsage | undefined): boolean =>
  guarantee !== undefined &&
  usage.gpus <= guarantee.gpus &&
  (guarantee.cpus === 0 || usage.cpus <= guarantee.cpus);

const createRequest = (
  view: PlacementView,
  job: ShardJob,
  waiting: readonly number[],
  withinGuarantee: boolean,
): PlacementRequest => {
  const { shardState, catalog, reservations, wall } = view;
  const { spec } = job;
  const objectives = view.objectives.get(spec.jobClass);
  const waitedS = (wall - job.waitingSince) / 1000;
  const onDemandPatienceS = withinGuarantee ? GUARANTEED_ON_DEMAND_PATIENCE_S : ON_DEMAND_PATIENCE_S;
  const bootS = shortestBootS(spec, catalog);
  const jobUrgency = urgency(spec, objectives, waitedS, bootS, ESTIMATED_IMAGE_FETCH_S);
  return {
    job: spec.id,
    spec,
    waiting,
    tasksByZone: tasksByZone(job, shardState),
    failedOn: job.failedOn,
    waitingSince: job.waitingSince,
    missedStartTargets: missedStartTargets(objectives, waitedS),
    urgency: jobUrgency,
    mayUseOnDemand: jobUrgency.place || waitedS > onDemandPatienceS,
    withinGuarantee,
    hasAlternatives: hasAlternatives(spec, catalog),
    hasReservation: reservations.some((reservation) => reservation.job === spec.id),
  };
};

/** Jobs with tasks that wait for room, in the order in which they are to be placed. */
export const placementRequests = (view: PlacementView): readonly PlacementRequest[] => {
  const { shardState, now, guarantees } = view;
  const requests: PlacementRequest[] = [];
  /** What each team's jobs take that have waited for as long or longer. */
  const usagesAhead = new Map<string, TeamUsage>();
  for (const job of [...shardState.jobs.values()].sort((a, b) => a.waitingSince - b.waitingSince)) {
    const { spec } = job;
    // What waits for others holds no part of its team's limit or guarantee.
    if (job.readiness._tag !== 'ready') continue;
    const usage = usagesAhead.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const left = spec.tasks - job.done.size;
    usage.cpus += spec.cpus * left;
    usage.gpus += spec.gpus * left;
    usagesAhead.set(spec.team, usage);
    if (!mayBePlaced(job, left, now)) continue;
    const waiting = waitingTasks(job);
    if (waiting.length === 0) continue;
    const withinGuarantee = isWithinGuarantee(usage, guarantees.get(spec.team));
    requests.push(createRequest(view, job, waiting, withinGuarantee));
  }
  return inPlacementOrder(requests);
};
