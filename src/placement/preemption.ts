/**
 * Which groups of lower priority to stop so that a job finds room: the last resort. Pure; `Preemptor` calls
 * it for each job of a search, with the machines as the job before left them.
 */
import { SPREAD_ZONE_FRACTION } from '../constants/placement.js';
import { CPUS_PER_GPU_IN_GROUP_SIZE } from '../constants/preemption.js';
import { fittingTaskCount, placeAllowed, type Demand, type JobSpec } from '../jobs/model.js';

/**
 * Tasks that are stopped together. A group is a gang with all its tasks wherever
 * they are, or what one array or service has on one machine, since those tasks are independent.
 */
export interface EvictableGroup {
  readonly job: string;
  readonly priority: number;
  readonly gang: boolean;
  /** What it has on this machine. */
  readonly tasks: number;
  readonly demand: Demand;
}
/** A machine with the groups of tasks on it that could be stopped. */
export interface OccupiedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Demand;
  readonly groups: readonly EvictableGroup[];
}
/** A group to be stopped: a whole gang, or the tasks of another job on one machine. */
export interface Eviction {
  readonly machine: string;
  readonly job: string;
}

const sizeOf = (group: EvictableGroup): number =>
  group.demand.gpus + group.demand.cpus / CPUS_PER_GPU_IN_GROUP_SIZE;
const keyOf = (machine: string, group: EvictableGroup): string =>
  group.gang ? group.job : `${group.job}@${machine}`;

/** How one machine would be cleared. */
interface MachinePlan {
  readonly machine: OccupiedMachine;
  readonly victims: readonly EvictableGroup[];
  /** Tasks of the job that it has room for then. */
  readonly fits: number;
}

/** Fewest and smallest groups of the lowest priority whose end lets at least one more task in. */
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
  const open: EvictableGroup[] = [];
  for (const group of machine.groups) {
    if (evicted.has(keyOf(machine.id, group))) add(group);
    else if (group.priority < spec.priority) open.push(group);
  }
  open.sort((a, b) => a.priority - b.priority || sizeOf(a) - sizeOf(b) || (a.job < b.job ? -1 : 1));
  let victims: EvictableGroup[] = [];
  while (fittingTaskCount(spec, free, spec.tasks) === 0) {
    const next = open.shift();
    if (!next) return null;
    victims.push(next);
    add(next);
  }
  // One that turned out not to be needed, since a later one was large enough, stays.
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
  return { machine, victims, fits: fittingTaskCount(spec, free, spec.tasks) };
};

/**
 * Lower goes first: the highest priority that a plan costs, then the number of its groups, then their size.
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

/** Evictions on machines that a job may use together, with what they cost; null: they lead to no start. */
interface EvictionChoice {
  readonly evictions: readonly Eviction[];
  /** Compared one after the other, lower first: the worst priority, the number of groups, their size. */
  readonly cost: readonly number[];
  /** Keys of the groups that go. */
  readonly evictedGroups: ReadonlySet<string>;
  /** Tasks of the job for which each machine is cleared. */
  readonly tasks: ReadonlyMap<string, number>;
}

/** A plan with what it costs, as `costOf` gives it. */
interface PricedPlan {
  readonly plan: MachinePlan;
  readonly cost: readonly number[];
}

/** Plans of machines stay as they are until a group with tasks on them goes for another's sake. */
class PlanCache {
  private readonly plans = new Map<OccupiedMachine, PricedPlan | null>();
  constructor(
    private readonly spec: JobSpec,
    private readonly evicted: ReadonlySet<string>,
  ) {}

  private planOf(machine: OccupiedMachine): PricedPlan | null {
    let known = this.plans.get(machine);
    if (known === undefined) {
      const plan = planMachine(this.spec, machine, this.evicted);
      this.plans.set(machine, (known = plan ? { plan, cost: costOf(plan) } : null));
    }
    return known;
  }

  cheapest(machines: readonly OccupiedMachine[]): MachinePlan | null {
    let best: PricedPlan | null = null;
    for (const machine of machines) {
      const known = this.planOf(machine);
      if (known && (!best || isLess(known.cost, best.cost))) best = known;
    }
    return best?.plan ?? null;
  }

  /** A gang is preempted whole, so it leaves the other machines as well. */
  forgetGang(job: string, machines: readonly OccupiedMachine[]): void {
    for (const machine of machines)
      if (machine.groups.some((group) => group.job === job)) this.plans.delete(machine);
  }
}

/** A job that finds no room. */
export interface PreemptingJob {
  readonly spec: JobSpec;
  /** Tasks that wait. */
  readonly count: number;
  /** Its tasks that are, or may be, on machines, by zone. */
  readonly tasksByZone: ReadonlyMap<string, number>;
  /** Machines on which it failed. */
  readonly failedOn: ReadonlySet<string>;
}

/** How many more tasks of the job each zone may take. */
class ZoneRoom {
  private readonly used: Map<string, number>;
  private readonly cap: number;

  constructor({ spec, tasksByZone: inZones }: PreemptingJob) {
    this.used = new Map(inZones);
    this.cap = spec.spread ? Math.ceil(spec.tasks * SPREAD_ZONE_FRACTION) : Number.POSITIVE_INFINITY;
  }
  in(zone: string): number {
    return this.cap - (this.used.get(zone) ?? 0);
  }
  take(zone: string, tasks: number): void {
    this.used.set(zone, (this.used.get(zone) ?? 0) + tasks);
  }
}

const chooseAmong = (job: PreemptingJob, machines: readonly OccupiedMachine[]): EvictionChoice | null => {
  const { spec, count } = job;
  const zoneRoom = new ZoneRoom(job);
  const evicted = new Set<string>();
  const plans = new PlanCache(spec, evicted);
  const left = [...machines];
  const evictions: Eviction[] = [];
  const tasks = new Map<string, number>();
  let missing = count;
  let sizes = 0;
  let worst = 0;
  while (missing > 0) {
    const pick = plans.cheapest(left);
    if (!pick) break;
    left.splice(left.indexOf(pick.machine), 1);
    const here = Math.min(missing, pick.fits, zoneRoom.in(pick.machine.zone));
    if (here <= 0) continue;
    zoneRoom.take(pick.machine.zone, here);
    for (const victim of pick.victims) {
      const key = keyOf(pick.machine.id, victim);
      if (evicted.has(key)) continue;
      evicted.add(key);
      if (victim.gang) plans.forgetGang(victim.job, left);
      evictions.push({ machine: pick.machine.id, job: victim.job });
      sizes += sizeOf(victim);
      worst = Math.max(worst, victim.priority);
    }
    tasks.set(pick.machine.id, here);
    missing -= here;
  }
  const starts = spec.kind === 'gang' ? missing <= 0 : missing < count;
  return starts ? { evictions, cost: [worst, evictions.length, sizes], evictedGroups: evicted, tasks } : null;
};

const bestChoice = (job: PreemptingJob, machines: readonly OccupiedMachine[]): EvictionChoice | null => {
  const { spec, tasksByZone: inZones, failedOn } = job;
  const occupiedZones = spec.oneZone ? [...inZones].filter(([, tasks]) => tasks > 0) : [];
  const usable = machines.filter(
    (machine) =>
      placeAllowed(spec, machine) &&
      !failedOn.has(machine.id) &&
      // Once some tasks run, only the zone that holds them counts.
      occupiedZones.every(([zone]) => zone === machine.zone),
  );
  const zones = spec.oneZone ? [...new Set(usable.map((machine) => machine.zone))].sort() : [null];
  let best: EvictionChoice | null = null;
  /**
   * It would fit without an eviction, in room that earlier jobs of this search had cleared, or that is kept
   * for others.
   */
  let fitting: EvictionChoice | null = null;
  for (const zone of zones) {
    const choice = chooseAmong(
      job,
      usable.filter((machine) => zone === null || machine.zone === zone),
    );
    if (choice?.evictions.length === 0) fitting ??= choice;
    else if (choice && (!best || isLess(choice.cost, best.cost))) best = choice;
  }
  return best ?? fitting;
};

/** The machine once the groups of a choice are gone and the job's tasks are on it. */
const afterChoice = (spec: JobSpec, machine: OccupiedMachine, choice: EvictionChoice): OccupiedMachine => {
  const tasks = choice.tasks.get(machine.id) ?? 0;
  const free = {
    cpus: machine.free.cpus - spec.cpus * tasks,
    gpus: machine.free.gpus - spec.gpus * tasks,
    memoryGb: machine.free.memoryGb - spec.memoryGb * tasks,
  };
  const groups: EvictableGroup[] = [];
  for (const group of machine.groups) {
    if (!choice.evictedGroups.has(keyOf(machine.id, group))) {
      groups.push(group);
      continue;
    }
    free.cpus += group.demand.cpus;
    free.gpus += group.demand.gpus;
    free.memoryGb += group.demand.memoryGb;
  }
  return { ...machine, free, groups };
};

/** Groups to stop for one job, and the machines as the next job that needs some finds them. */
export interface Preemption {
  readonly evictions: readonly Eviction[];
  readonly machines: readonly OccupiedMachine[];
}

/** Which groups to preempt so that the job's tasks can start; none if no eviction would lead to a start. */
export const preempt = (job: PreemptingJob, machines: readonly OccupiedMachine[]): Preemption => {
  const choice = bestChoice(job, machines);
  if (!choice) return { evictions: [], machines };
  return {
    evictions: choice.evictions,
    machines: machines.map((machine) => afterChoice(job.spec, machine, choice)),
  };
};
