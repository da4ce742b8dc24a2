import { howMany, placeAllowed, type Demand, type JobSpec } from '../jobs/model.js';

/**
 * The last resort: whole groups of lower priority make room. A group is a gang with all its tasks wherever they
 * are, or what one array or service has on one machine, since those tasks are independent.
 */
export interface Group {
  readonly job: string;
  readonly priority: number;
  readonly gang: boolean;
  /** What it has on this machine. */
  readonly tasks: number;
  readonly demand: Demand;
}
export interface OccupiedMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Demand;
  readonly groups: readonly Group[];
}
export interface Eviction {
  readonly machine: string;
  readonly job: string;
}

const size = (group: Group): number => group.demand.gpus + group.demand.cpus / 1_000;
const keyOf = (machine: string, group: Group): string => (group.gang ? group.job : `${group.job}@${machine}`);

interface Plan {
  readonly machine: OccupiedMachine;
  readonly victims: readonly Group[];
  readonly fits: number;
}

/** Fewest and smallest groups of the lowest priority whose end lets at least one more task in. */
const clear = (spec: JobSpec, machine: OccupiedMachine, gone: ReadonlySet<string>): Plan | null => {
  const free = { cpus: machine.free.cpus, gpus: machine.free.gpus, memoryGb: machine.free.memoryGb };
  const add = (group: Group): void => {
    free.cpus += group.demand.cpus;
    free.gpus += group.demand.gpus;
    free.memoryGb += group.demand.memoryGb;
  };
  const open: Group[] = [];
  for (const group of machine.groups) {
    if (gone.has(keyOf(machine.id, group))) add(group);
    else if (group.priority < spec.priority) open.push(group);
  }
  open.sort((a, b) => a.priority - b.priority || size(a) - size(b) || (a.job < b.job ? -1 : 1));
  let victims: Group[] = [];
  while (howMany(spec, free, spec.tasks) === 0) {
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
    if (howMany(spec, without, spec.tasks) === 0) continue;
    victims = victims.filter((other) => other !== victim);
    Object.assign(free, without);
  }
  return { machine, victims, fits: howMany(spec, free, spec.tasks) };
};

/** Which groups to preempt so that `count` tasks can start; none if no eviction would lead to a start. */
export const chooseVictims = (
  spec: JobSpec,
  count: number,
  machines: readonly OccupiedMachine[],
): readonly Eviction[] => {
  const usable = machines.filter((machine) => placeAllowed(spec, machine));
  const zones = spec.oneZone ? [...new Set(usable.map((machine) => machine.zone))].sort() : [null];
  const gang = spec.kind === 'gang';
  let best: { evictions: Eviction[]; rank: readonly number[] } | null = null;
  for (const zone of zones) {
    const gone = new Set<string>();
    const evictions: Eviction[] = [];
    let missing = count;
    let sizes = 0;
    let worst = 0;
    const left = usable.filter((machine) => zone === null || machine.zone === zone);
    /** Plans stay as they are until a group with tasks on their machine goes for another's sake. */
    const plans = new Map<OccupiedMachine, Plan | null>();
    while (missing > 0) {
      let pick: Plan | null = null;
      for (const machine of left) {
        let plan = plans.get(machine);
        if (plan === undefined) plans.set(machine, (plan = clear(spec, machine, gone)));
        if (!plan) continue;
        const weight = (p: Plan): number => p.victims.reduce((sum, victim) => sum + size(victim), 0);
        const prior = (p: Plan): number => Math.max(-1, ...p.victims.map((victim) => victim.priority));
        if (
          !pick ||
          prior(plan) < prior(pick) ||
          (prior(plan) === prior(pick) &&
            (plan.victims.length < pick.victims.length ||
              (plan.victims.length === pick.victims.length && weight(plan) < weight(pick))))
        ) {
          pick = plan;
        }
      }
      if (!pick) break;
      left.splice(left.indexOf(pick.machine), 1);
      for (const victim of pick.victims) {
        const key = keyOf(pick.machine.id, victim);
        if (gone.has(key)) continue;
        gone.add(key);
        if (victim.gang) {
          for (const machine of left)
            if (machine.groups.some((group) => group.job === victim.job)) plans.delete(machine);
        }
        evictions.push({ machine: pick.machine.id, job: victim.job });
        sizes += size(victim);
        worst = Math.max(worst, victim.priority);
      }
      missing -= pick.fits;
    }
    if (evictions.length === 0 || (gang ? missing > 0 : missing >= count)) continue;
    const rank = [worst, evictions.length, sizes];
    if (
      !best ||
      rank.some(
        (value, k) => value < (best?.rank[k] ?? 0) && rank.slice(0, k).every((v, j) => v === best?.rank[j]),
      )
    ) {
      best = { evictions, rank };
    }
  }
  return best?.evictions ?? [];
};
