/**
 * Chooses groups of lower priority to stop so that a job finds capacity, as a last resort. Pure; `Preemptor`
 * calls it for each job of a search, with the machines as the decision for the previous job leaves them.
 */
import { SPREAD_ZONE_FRACTION } from '../constants/placement.js';
import { CPUS_PER_GPU_IN_GROUP_SIZE } from '../constants/preemption.js';
import { fittingTaskCount, placeAllowed, type Demand, type JobSpec } from '../jobs/model.js';

/**
 * Tasks on one machine that are stopped together. A group is part of a gang, which is stopped as a whole on
 * all its machines, or the tasks of one array or service on this machine, since those are independent.
 */
export interface EvictableGroup {
  readonly job: string;
  readonly priority: number;
  readonly gang: boolean;
  /** Number of its tasks on this machine; `demand` is their total. */
  readonly tasks: number;
  readonly demand: Demand;
}
/** A machine with the groups of tasks on it that may be stopped. */
export interface OccupiedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Demand;
  readonly groups: readonly EvictableGroup[];
}
/** A group to stop: a whole gang, or the tasks of an array or service on one machine. */
export interface Eviction {
  readonly machine: string;
  readonly job: string;
}

const sizeOf = (group: EvictableGroup): number =>
  group.demand.gpus + group.demand.cpus / CPUS_PER_GPU_IN_GROUP_SIZE;
const groupKey = (machine: string, group: EvictableGroup): string =>
  group.gang ? group.job : `${group.job}@${machine}`;

/** The groups to stop on one machine so that tasks of the job fit there. */
interface MachinePlan {
  readonly machine: OccupiedMachine;
  readonly victims: readonly EvictableGroup[];
  /** Number of tasks of the job that fit then. */
  readonly tasksThatFit: number;
}

/**
 * Plans the evictions on one machine after which at least one task of the job fits: adds groups, the lowest
 * priority and the smallest first, then drops those that are not needed. Null: all groups are not enough.
 */
const planMachine = (
  spec: JobSpec,
  machine: OccupiedMachine,
  evicted: ReadonlySet<string>,
): MachinePlan | null => {
  const free = { cpus: machine.free.cpus, gpus: machine.free.gpus, memoryGb: machine.free.memoryGb };
  const add = (group: EvictableGroup): void => {
    free.cpus += group.demand.cpus;
    free.gpus += group.demand.gpus;
    free.memoryGb += group.demand.memoryGb;
  };
  const candidates: EvictableGroup[] = [];
  for (const group of machine.groups) {
    if (evicted.has(groupKey(machine.id, group))) add(group);
    else if (group.priority < spec.priority) candidates.push(group);
  }
  candidates.sort((a, b) => a.priority - b.priority || sizeOf(a) - sizeOf(b) || (a.job < b.job ? -1 : 1));
  let victims: EvictableGroup[] = [];
  while (fittingTaskCount(spec, free, spec.tasks) === 0) {
    const next = candidates.shift();
    if (!next) return null;
    victims.push(next);
    add(next);
  }
  // Spares a group that is not needed because a group added later frees enough.
  for (const victim of [...victims]) {
    const without = {
      cpus: free.cpus - victim.demand.cpus,
      gpus: free.gpus - victim.demand.gpus,
      memoryGb: free.memoryGb - victim.demand.memoryGb,
    };
    if (fittingTaskCount(spec, without, spec.tasks) === 0) continue;
    victims = victims.filter((other) => other !== victim);
    Object.assign(free, without);
  }
  return { machine, victims, tasksThatFit: fittingTaskCount(spec, free, spec.tasks) };
};

/**
 * The cost of a plan, compared element by element, lower is better: the highest priority among its groups,
 * their number, their total size.
 */
const costOf = (plan: MachinePlan): readonly number[] => [
  Math.max(-1, ...plan.victims.map((victim) => victim.priority)),
  plan.victims.length,
  plan.victims.reduce((sum, victim) => sum + sizeOf(victim), 0),
];

const isLess = (a: readonly number[], b: readonly number[]): boolean => {
  for (const [k, value] of a.entries()) {
    const other = b[k] ?? 0;
    if (value !== other) return value < other;
  }
  return false;
};

/** Evictions on machines that a job may use together, with their cost. */
interface EvictionChoice {
  readonly evictions: readonly Eviction[];
  /** As `costOf` orders it: the highest priority, the number of groups, their total size. */
  readonly cost: readonly number[];
  /** Keys of the groups that are stopped. */
  readonly evictedGroups: ReadonlySet<string>;
  /** By machine: number of tasks of the job that are to start there. */
  readonly tasks: ReadonlyMap<string, number>;
}

/** A plan with its cost, as `costOf` computes it. */
interface PlanWithCost {
  readonly plan: MachinePlan;
  readonly cost: readonly number[];
}

/**
 * Caches the plan of each machine. A plan stays valid until the plan of another machine evicts a gang that
 * has tasks on its machine.
 */
class PlanCache {
  private readonly plans = new Map<OccupiedMachine, PlanWithCost | null>();
  constructor(
    private readonly spec: JobSpec,
    private readonly evicted: ReadonlySet<string>,
  ) {}

  private planOf(machine: OccupiedMachine): PlanWithCost | null {
    let known = this.plans.get(machine);
    if (known === undefined) {
      const plan = planMachine(this.spec, machine, this.evicted);
      this.plans.set(machine, (known = plan ? { plan, cost: costOf(plan) } : null));
    }
    return known;
  }

  cheapest(machines: readonly OccupiedMachine[]): MachinePlan | null {
    let best: PlanWithCost | null = null;
    for (const machine of machines) {
      const known = this.planOf(machine);
      if (known && (!best || isLess(known.cost, best.cost))) best = known;
    }
    return best?.plan ?? null;
  }

  /** Drops the plans of machines with tasks of an evicted gang: it is stopped whole, so it frees them too. */
  invalidateGang(job: string, machines: readonly OccupiedMachine[]): void {
    for (const machine of machines)
      if (machine.groups.some((group) => group.job === job)) this.plans.delete(machine);
  }
}

/** A job that finds no capacity. */
export interface PreemptingJob {
  readonly spec: JobSpec;
  /** Number of its waiting tasks. */
  readonly count: number;
  /** Number of its tasks that are, or may be, on machines, by zone; empty unless it is one-zone or spread. */
  readonly tasksByZone: ReadonlyMap<string, number>;
  /** Machines on which its tasks failed. */
  readonly failedOn: ReadonlySet<string>;
}

/** Counts how many more tasks of the job each zone may hold. */
class ZoneAllowance {
  private readonly used: Map<string, number>;
  private readonly maxTasksPerZone: number;

  constructor({ spec, tasksByZone }: PreemptingJob) {
    this.used = new Map(tasksByZone);
    this.maxTasksPerZone = spec.spread
      ? Math.ceil(spec.tasks * SPREAD_ZONE_FRACTION)
      : Number.POSITIVE_INFINITY;
  }
  remaining(zone: string): number {
    return this.maxTasksPerZone - (this.used.get(zone) ?? 0);
  }
  add(zone: string, tasks: number): void {
    this.used.set(zone, (this.used.get(zone) ?? 0) + tasks);
  }
}

/**
 * Applies the plans of machines, the lowest cost first, until all waiting tasks of the job fit or no machine
 * is left. Null: the job could not start, which for a gang means that not all its tasks fit.
 */
const chooseEvictions = (job: PreemptingJob, machines: readonly OccupiedMachine[]): EvictionChoice | null => {
  const { spec, count } = job;
  const zoneAllowance = new ZoneAllowance(job);
  const evicted = new Set<string>();
  const plans = new PlanCache(spec, evicted);
  const remaining = [...machines];
  const evictions: Eviction[] = [];
  const tasks = new Map<string, number>();
  let unplaced = count;
  let totalSize = 0;
  let highestPriority = 0;
  while (unplaced > 0) {
    const plan = plans.cheapest(remaining);
    if (!plan) break;
    remaining.splice(remaining.indexOf(plan.machine), 1);
    const tasksHere = Math.min(unplaced, plan.tasksThatFit, zoneAllowance.remaining(plan.machine.zone));
    if (tasksHere <= 0) continue;
    zoneAllowance.add(plan.machine.zone, tasksHere);
    for (const victim of plan.victims) {
      const key = groupKey(plan.machine.id, victim);
      if (evicted.has(key)) continue;
      evicted.add(key);
      if (victim.gang) plans.invalidateGang(victim.job, remaining);
      evictions.push({ machine: plan.machine.id, job: victim.job });
      totalSize += sizeOf(victim);
      highestPriority = Math.max(highestPriority, victim.priority);
    }
    tasks.set(plan.machine.id, tasksHere);
    unplaced -= tasksHere;
  }
  const canStart = spec.kind === 'gang' ? unplaced <= 0 : unplaced < count;
  return canStart
    ? { evictions, cost: [highestPriority, evictions.length, totalSize], evictedGroups: evicted, tasks }
    : null;
};

const bestChoice = (job: PreemptingJob, machines: readonly OccupiedMachine[]): EvictionChoice | null => {
  const { spec, tasksByZone, failedOn } = job;
  const occupiedZones = spec.oneZone ? [...tasksByZone].filter(([, tasks]) => tasks > 0) : [];
  const usable = machines.filter(
    (machine) =>
      placeAllowed(spec, machine) &&
      !failedOn.has(machine.id) &&
      // Once tasks of a one-zone job are on machines, only the zone that holds them counts.
      occupiedZones.every(([zone]) => zone === machine.zone),
  );
  const zones = spec.oneZone ? [...new Set(usable.map((machine) => machine.zone))].sort() : [null];
  let best: EvictionChoice | null = null;
  /**
   * A choice without evictions: the job fits into capacity that evictions for earlier jobs of this search
   * free, or that is withheld from it.
   */
  let choiceWithoutEvictions: EvictionChoice | null = null;
  for (const zone of zones) {
    const choice = chooseEvictions(
      job,
      usable.filter((machine) => zone === null || machine.zone === zone),
    );
    if (choice?.evictions.length === 0) choiceWithoutEvictions ??= choice;
    else if (choice && (!best || isLess(choice.cost, best.cost))) best = choice;
  }
  return best ?? choiceWithoutEvictions;
};

/** The machine once the groups of a choice have stopped and the job's tasks run on it. */
const machineAfter = (spec: JobSpec, machine: OccupiedMachine, choice: EvictionChoice): OccupiedMachine => {
  const tasks = choice.tasks.get(machine.id) ?? 0;
  const free = {
    cpus: machine.free.cpus - spec.cpus * tasks,
    gpus: machine.free.gpus - spec.gpus * tasks,
    memoryGb: machine.free.memoryGb - spec.memoryGb * tasks,
  };
  const groups: EvictableGroup[] = [];
  for (const group of machine.groups) {
    if (!choice.evictedGroups.has(groupKey(machine.id, group))) {
      groups.push(group);
      continue;
    }
    free.cpus += group.demand.cpus;
    free.gpus += group.demand.gpus;
    free.memoryGb += group.demand.memoryGb;
  }
  return { ...machine, free, groups };
};

/** The groups to stop for one job, and the machines as they are then for the next job. */
export interface Preemption {
  readonly evictions: readonly Eviction[];
  readonly machines: readonly OccupiedMachine[];
}

/** Chooses groups to preempt so that the job's tasks can start; none if no evictions make that possible. */
export const preempt = (job: PreemptingJob, machines: readonly OccupiedMachine[]): Preemption => {
  const choice = bestChoice(job, machines);
  if (!choice) return { evictions: [], machines };
  return {
    evictions: choice.evictions,
    machines: machines.map((machine) => machineAfter(job.spec, machine, choice)),
  };
};
