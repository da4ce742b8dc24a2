import {
  ESTIMATED_IMAGE_FETCH_S,
  GUARANTEED_ON_DEMAND_PATIENCE_S,
  MAX_TASKS_PER_PLACEMENT_REQUEST,
  ON_DEMAND_PATIENCE_S,
  RESERVED_IDLE_MACHINES,
} from '../constants/placement.js';
import { MAX_TASKS_PER_JOB } from '../constants/users-api.js';
import { findReservation } from '../fleet/reservation.js';
import type { Reservation } from '../fleet/records.js';
import {
  fitsIn,
  hasAlternatives,
  howMany,
  typeAllowed,
  type Catalog,
  type Demand,
  type JobSpec,
} from '../jobs/model.js';
import type { ShardState } from './shard-state.js';
import type { MachineLiveness } from './machine-liveness.js';
import { order, type PlacementRequest, type AvailableCapacity, type TeamUsage } from './bin-packing.js';
import { bindingKey, isFinished, type Free, type ShardJob, type ShardMachine } from './shard-model.js';
import { attainableObjective, urgency, type Objectives } from './urgency.js';

/**
 * What waits and where there is room, read from the shareState for one round. Changes nothing but the cached
 * room.
 */
export interface ViewInput {
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly catalog: Catalog;
  /**
   * The most that one task takes of work that can't do without ordinary machines of this type; null: there is
   * none.
   */
  readonly scarceDemand: (type: string) => Demand | null;
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  readonly reservations: readonly Reservation[];
  readonly now: number;
  readonly wall: number;
}

const NOTHING: Demand = { cpus: 0, gpus: 0, memoryGb: 0 };

/** What each team has on machines: everything bound, which includes whatever is not proven gone. */
export const teamUsage = (shardState: ShardState): Map<string, TeamUsage> => {
  const uses = new Map<string, TeamUsage>();
  for (const job of shardState.jobs.values()) {
    const tasks = job.bindings.size;
    if (tasks === 0) continue;
    const use = uses.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    use.cpus += job.spec.cpus * tasks;
    use.gpus += job.spec.gpus * tasks;
    uses.set(job.spec.team, use);
  }
  return uses;
};

const freeOf = (shardState: ShardState, machine: ShardMachine, catalog: Catalog): Free => {
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
  for (const task of machine.reported) {
    if (task.state._tag === 'exited' || machine.bound.has(bindingKey(task.job, task.index, task.attempt)))
      continue;
    // On the machine, but not ours any more: it is being stopped, and its room is not free yet.
    if (!subtract(task.job)) clear = false;
  }
  return clear ? { _tag: 'free', cpus, gpus, memoryGb, others, dependent } : { _tag: 'unclear' };
};

/**
 * Room beside the work that can't do without this type: what is over once as many of its largest tasks as the
 * machine holds have their room. Only where such work runs already: an empty machine stays free to move to
 * another share.
 */
const leftoverOf = (machine: ShardMachine, free: Free, scarce: Demand | null): Demand => {
  if (free._tag === 'unclear' || scarce === null || !free.dependent) return NOTHING;
  const tasks = howMany(scarce, machine.total, MAX_TASKS_PER_JOB);
  const over = (field: keyof Demand): number =>
    Math.max(0, Math.min(free[field], machine.total[field] - tasks * scarce[field] - free.others[field]));
  return { cpus: over('cpus'), gpus: over('gpus'), memoryGb: over('memoryGb') };
};

/**
 * Ordinary machines that some job can't do without are held back from work that can use spot: where that
 * work has other types to go to, always; where it has none, as long as it would take one of the last idle.
 */
const withholdingOf = (
  machine: ShardMachine,
  idle: number,
  input: ViewInput,
): AvailableCapacity['withheldFromSpotWork'] => {
  if (machine.spot || input.scarceDemand(machine.type) === null) return 'no';
  if (input.catalog.size > 1) return 'always';
  return machine.bound.size === 0 && idle <= RESERVED_IDLE_MACHINES ? 'reserve' : 'no';
};

/** Room on each machine that may take tasks, now or once it is up. */
export const availableCapacity = (input: ViewInput): AvailableCapacity[] => {
  const { shardState, liveness } = input;
  const capacities: AvailableCapacity[] = [];
  let idle = 0;
  for (const machine of shardState.machines.values())
    if (!machine.spot && !machine.releasing && liveness.idle(machine)) idle += 1;
  for (const machine of shardState.machines.values()) {
    if (
      machine.releasing ||
      machine.cordoned ||
      machine.noticeAt !== null ||
      machine.health._tag !== 'fine' ||
      machine.raiseToken
    )
      continue;
    const live = liveness.live(machine, input.now);
    if (!live && !liveness.expected(machine, input.now, input.wall)) continue;
    machine.free ??= freeOf(shardState, machine, input.catalog);
    const { free } = machine;
    if (free._tag === 'unclear') continue;
    const held = findReservation(input.reservations, machine);
    capacities.push({
      id: machine.id,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      total: machine.total,
      free: { cpus: free.cpus, gpus: free.gpus, memoryGb: free.memoryGb },
      leftover: { ...leftoverOf(machine, free, input.scarceDemand(machine.type)) },
      images: machine.images,
      live,
      withheldFromSpotWork: withholdingOf(machine, idle, input),
      reservedFor: held,
      empty: machine.bound.size === 0,
    });
  }
  return capacities;
};

/** The shortest nominal boot among the types that the job may use. */
const bootS = (spec: JobSpec, catalog: Catalog): number => {
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
  while (job.done.has(job.firstOpen)) job.firstOpen += 1;
  for (let index = job.firstOpen; index < job.spec.tasks && waiting.length < most; index += 1) {
    if (!job.done.has(index) && !job.bindings.has(index)) waiting.push(index);
  }
  return waiting;
};

const inZones = (job: ShardJob, shardState: ShardState): ReadonlyMap<string, number> => {
  const zones = new Map<string, number>();
  // Only these two look at where the other tasks are.
  if (!job.spec.oneZone && !job.spec.spread) return zones;
  for (const binding of job.bindings.values()) {
    const zone = shardState.machines.get(binding.machine)?.zone;
    if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }
  return zones;
};

/** Jobs with tasks that wait for room, in the order in which they are to be placed. */
export const placementRequests = (input: ViewInput): readonly PlacementRequest[] => {
  const { shardState, now, wall } = input;
  const requests: PlacementRequest[] = [];
  const ahead = new Map<string, TeamUsage>();
  for (const job of [...shardState.jobs.values()].sort((a, b) => a.at - b.at)) {
    const { spec } = job;
    // What waits for others holds no part of its team's limit or guarantee.
    if (job.readiness._tag !== 'ready') continue;
    const use = ahead.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const left = spec.tasks - job.done.size;
    use.cpus += spec.cpus * left;
    use.gpus += spec.gpus * left;
    ahead.set(spec.team, use);
    if (job.cancelled || job.finishing || job.writing > 0 || now < job.backoffUntil) continue;
    if (job.bindings.size >= left || isFinished(job)) continue;
    if (spec.kind === 'gang' && job.bindings.size > 0) continue;
    const waiting = waitingTasks(job);
    if (waiting.length === 0) continue;
    const guarantee = input.guarantees.get(spec.team);
    const objectives = input.objectives.get(spec.jobClass);
    const waitedS = (wall - job.at) / 1000;
    const withinGuarantee =
      guarantee !== undefined &&
      use.gpus <= guarantee.gpus &&
      (guarantee.cpus === 0 || use.cpus <= guarantee.cpus);
    const pressing = urgency(spec, objectives, waitedS, bootS(spec, input.catalog), ESTIMATED_IMAGE_FETCH_S);
    requests.push({
      job: spec.id,
      spec,
      waiting,
      inZones: inZones(job, shardState),
      failedOn: job.failedOn,
      at: job.at,
      attainableObjective: attainableObjective(objectives, waitedS),
      urgency: pressing,
      mayUseOnDemand:
        pressing.place ||
        waitedS > (withinGuarantee ? GUARANTEED_ON_DEMAND_PATIENCE_S : ON_DEMAND_PATIENCE_S),
      withinGuarantee,
      hasAlternatives: hasAlternatives(spec, input.catalog),
      hasReservation: input.reservations.some((reservation) => reservation.job === spec.id),
    });
  }
  return order(requests);
};
