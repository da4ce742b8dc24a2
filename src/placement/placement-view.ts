/**
 * Builds the input of one placement round from the shard's state: the requests and the free capacity of
 * machines. Owns nothing; it updates the cached `free` of machines and `firstUnfinished` of jobs. `Shard`
 * calls it at the start of each round.
 */
import {
  ESTIMATED_IMAGE_FETCH_S,
  GUARANTEED_ON_DEMAND_PLACEMENT_WAIT_S,
  MAX_TASKS_PER_PLACEMENT_REQUEST,
  ON_DEMAND_PLACEMENT_WAIT_S,
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

/** What one round reads. */
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

const NO_CAPACITY: Demand = { cpus: 0, gpus: 0, memoryGb: 0 };

/** Usage by team: the demand of all bound tasks, including those that are not proven gone yet. */
export const teamUsage = (shardState: ShardState): Map<string, TeamUsage> => {
  const usages = new Map<string, TeamUsage>();
  for (const job of shardState.jobs.values()) {
    const tasks = job.bindings.size;
    if (tasks === 0) continue;
    const usage = usages.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += job.spec.cpus * tasks;
    usage.gpus += job.spec.gpus * tasks;
    usages.set(job.spec.team, usage);
  }
  return usages;
};

const freeCapacityOf = (shardState: ShardState, machine: ShardMachine, catalog: Catalog): FreeCapacity => {
  let { cpus, gpus, memoryGb } = machine.total;
  const usedByFlexibleWork = { cpus: 0, gpus: 0, memoryGb: 0 };
  let hasDependentWork = false;
  /** Subtracts one task of a job; false: the job is unknown, and so is the size of the task. */
  const subtractTask = (jobId: string): boolean => {
    const spec = shardState.jobs.get(jobId)?.spec;
    if (!spec) return false;
    cpus -= spec.cpus;
    gpus -= spec.gpus;
    memoryGb -= spec.memoryGb;
    if (hasAlternatives(spec, catalog)) {
      usedByFlexibleWork.cpus += spec.cpus;
      usedByFlexibleWork.gpus += spec.gpus;
      usedByFlexibleWork.memoryGb += spec.memoryGb;
    } else hasDependentWork = true;
    return true;
  };
  let sizesKnown = true;
  for (const binding of machine.bound.values()) if (!subtractTask(binding.job)) sizesKnown = false;
  for (const task of machine.reportedTasks) {
    if (task.state._tag === 'exited' || machine.bound.has(bindingKey(task.job, task.index, task.attempt)))
      continue;
    // Reported but no longer bound here: the task is being stopped, and its capacity is not free yet.
    if (!subtractTask(task.job)) sizesKnown = false;
  }
  return sizesKnown
    ? { _tag: 'free', cpus, gpus, memoryGb, usedByFlexibleWork, hasDependentWork }
    : { _tag: 'unclear' };
};

/**
 * The capacity that work depending on this machine type cannot use: what stays free once the machine holds as
 * many of that work's largest tasks as fit. Zero unless such work already runs on the machine, so that an
 * empty machine stays free for another shard.
 */
const leftoverCapacityOf = (machine: ShardMachine, free: FreeCapacity, scarce: Demand | null): Demand => {
  if (free._tag === 'unclear' || scarce === null || !free.hasDependentWork) return NO_CAPACITY;
  const tasks = fittingTaskCount(scarce, machine.total, MAX_TASKS_PER_JOB);
  const leftover = (field: keyof Demand): number =>
    Math.max(
      0,
      Math.min(free[field], machine.total[field] - tasks * scarce[field] - free.usedByFlexibleWork[field]),
    );
  return { cpus: leftover('cpus'), gpus: leftover('gpus'), memoryGb: leftover('memoryGb') };
};

/**
 * Withholds on-demand machines whose type some job depends on from work that may use spot machines: always
 * if the catalog has other types, otherwise while the machine is one of the last idle ones.
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

/**
 * Free capacity of each machine that accepts tasks now, or is expected to soon; without machines whose free
 * capacity is unclear.
 */
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

/** s: the shortest nominal boot time of the types that the job may use; 0: it fits none. */
const shortestBootS = (spec: JobSpec, catalog: Catalog): number => {
  let shortestS = Number.POSITIVE_INFINITY;
  for (const type of catalog.values()) {
    if (typeAllowed(spec, type.name) && fitsIn(spec, type)) shortestS = Math.min(shortestS, type.bootS);
  }
  return Number.isFinite(shortestS) ? shortestS : 0;
};

const waitingTasks = (job: ShardJob): readonly number[] => {
  const waiting: number[] = [];
  // A job may have 100,000 tasks, so a round looks at a bounded number of them; a gang is placed whole.
  const maxTasks = job.spec.kind === 'gang' ? job.spec.tasks : MAX_TASKS_PER_PLACEMENT_REQUEST;
  while (job.done.has(job.firstUnfinished)) job.firstUnfinished += 1;
  for (let index = job.firstUnfinished; index < job.spec.tasks && waiting.length < maxTasks; index += 1) {
    if (!job.done.has(index) && !job.bindings.has(index)) waiting.push(index);
  }
  return waiting;
};

const tasksByZone = (job: ShardJob, shardState: ShardState): ReadonlyMap<string, number> => {
  const zones = new Map<string, number>();
  // Only one-zone and spread jobs depend on the zones of their other tasks.
  if (!job.spec.oneZone && !job.spec.spread) return zones;
  for (const binding of job.bindings.values()) {
    const zone = shardState.machines.get(binding.machine)?.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** Whether the job's own state allows placing a task now; `unfinished`: number of its tasks not done. */
const mayBePlaced = (job: ShardJob, unfinished: number, now: number): boolean =>
  !job.cancelled &&
  !job.finishing &&
  job.writesInProgress === 0 &&
  now >= job.backoffUntil &&
  job.bindings.size < unfinished &&
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
  const onDemandWaitS = withinGuarantee ? GUARANTEED_ON_DEMAND_PLACEMENT_WAIT_S : ON_DEMAND_PLACEMENT_WAIT_S;
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
    mayUseOnDemand: jobUrgency.place || waitedS > onDemandWaitS,
    withinGuarantee,
    hasAlternatives: hasAlternatives(spec, catalog),
    hasReservation: reservations.some((reservation) => reservation.job === spec.id),
  };
};

/** Jobs with tasks that wait for capacity, in the order in which they are to be placed. */
export const placementRequests = (view: PlacementView): readonly PlacementRequest[] => {
  const { shardState, now, guarantees } = view;
  const requests: PlacementRequest[] = [];
  /**
   * By team: the demand of all unfinished tasks of its ready jobs, up to and including the current job, in
   * the order of their waiting times, the longest first.
   */
  const usagesAhead = new Map<string, TeamUsage>();
  for (const job of [...shardState.jobs.values()].sort((a, b) => a.waitingSince - b.waitingSince)) {
    const { spec } = job;
    // A job that waits for its dependencies uses no part of its team's limit or guarantee.
    if (job.readiness._tag !== 'ready') continue;
    const usage = usagesAhead.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const unfinished = spec.tasks - job.done.size;
    usage.cpus += spec.cpus * unfinished;
    usage.gpus += spec.gpus * unfinished;
    usagesAhead.set(spec.team, usage);
    if (!mayBePlaced(job, unfinished, now)) continue;
    const waiting = waitingTasks(job);
    if (waiting.length === 0) continue;
    const withinGuarantee = isWithinGuarantee(usage, guarantees.get(spec.team));
    requests.push(createRequest(view, job, waiting, withinGuarantee));
  }
  return inPlacementOrder(requests);
};
