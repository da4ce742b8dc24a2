/**
 * Stops groups of lower priority for jobs that find no capacity, at a bounded rate. Owns the time of its last
 * search. `Shard` calls it after the bin packing of each round.
 */
import {
  MAX_JOBS_PER_PREEMPTION_SEARCH,
  PREEMPTION_DELAY_MS,
  PREEMPTION_SEARCH_INTERVAL_MS,
} from '../constants/preemption.js';
import { log } from '../log.js';
import type { AvailableCapacity } from './placement-model.js';
import { preempt, type EvictableGroup, type Eviction, type OccupiedMachine } from './preemption.js';
import type { ShardIdentity, SteadyClock, WallClock } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ShardState } from './shard-state.js';
import type { Binding, ShardJob, ShardMachine } from './shard-model.js';
import type { UnplacedRequest } from './placement-model.js';

/** What the preemptor needs of its shard. */
export interface PreemptorDependencies
  extends Pick<ShardIdentity, 'shardId'>, SteadyClock, WallClock, Pick<ShardContext, 'spareElsewhere'> {
  readonly shardState: ShardState;
}

/** Tasks of one job on one machine. */
interface TasksOnMachine {
  /** The binding of the last of these tasks. */
  readonly binding: Binding;
  readonly job: ShardJob;
  readonly tasks: number;
}

const groupOf = ({ job, tasks }: TasksOnMachine): EvictableGroup => ({
  job: job.spec.id,
  priority: job.spec.priority,
  gang: job.spec.kind === 'gang',
  tasks,
  demand: {
    cpus: job.spec.cpus * tasks,
    gpus: job.spec.gpus * tasks,
    memoryGb: job.spec.memoryGb * tasks,
  },
});

/** The preemptor of one shard. */
export class Preemptor {
  /** ms on the steady clock. */
  private lastSearchAt = 0;

  constructor(private readonly dependencies: PreemptorDependencies) {}

  /**
   * Preempts whole groups of lower priority if nothing else helps: this shard has no capacity, no other shard
   * has a suitable free machine, and no earlier eviction is in progress. One search decides for all jobs that
   * need it, in placement order, because dozens of services wait for capacity at once after the loss of a
   * zone. It evicts only for jobs that can then start.
   */
  run(unplaced: readonly UnplacedRequest[], capacities: readonly AvailableCapacity[]): void {
    const now = this.dependencies.now();
    if (now - this.lastSearchAt < PREEMPTION_SEARCH_INTERVAL_MS) return;
    const candidates = unplaced
      .filter(
        ({ request }) =>
          request.spec.priority > 0 && this.dependencies.wall() - request.waitingSince >= PREEMPTION_DELAY_MS,
      )
      .slice(0, MAX_JOBS_PER_PREEMPTION_SEARCH);
    if (candidates.length === 0 || this.evictionsInProgress()) return;
    this.lastSearchAt = now;
    let machines = this.occupiedMachines(capacities);
    for (const { request, count } of candidates) {
      if (this.dependencies.spareElsewhere(this.dependencies.shardId, request.spec)) continue;
      const { spec, tasksByZone, failedOn } = request;
      const preemption = preempt({ spec, count, tasksByZone, failedOn }, machines);
      for (const eviction of preemption.evictions) this.evict(eviction, request.job);
      machines = preemption.machines;
    }
  }

  private evictionsInProgress(): boolean {
    for (const machine of this.dependencies.shardState.machines.values())
      for (const binding of machine.bound.values()) if (binding.stop?.reason === 'evicted') return true;
    return false;
  }

  private evict(victim: Eviction, preemptingJob: string): void {
    const { shardState } = this.dependencies;
    const job = shardState.jobs.get(victim.job);
    if (!job) return;
    log.info({ event: 'job.preempted', job: victim.job, machine: victim.machine, for: preemptingJob });
    for (const binding of job.bindings.values()) {
      if (job.spec.kind === 'gang' || binding.machine === victim.machine)
        shardState.stop(binding, 'evicted', shardState.saveGraceS(job));
    }
  }

  private occupiedMachines(capacities: readonly AvailableCapacity[]): readonly OccupiedMachine[] {
    const now = this.dependencies.now();
    const occupied: OccupiedMachine[] = [];
    for (const { id, type, zone, spot, free, live } of capacities) {
      const machine = this.dependencies.shardState.machines.get(id);
      if (!machine || !live) continue;
      const groups = this.tasksByJob(machine)
        .filter((tasks) => this.isWorthStopping(tasks, now))
        .map(groupOf);
      occupied.push({ id, type, zone, spot, free, groups });
    }
    return occupied;
  }

  /** The tasks on a machine that are not being stopped already. */
  private tasksByJob(machine: ShardMachine): readonly TasksOnMachine[] {
    const groups = new Map<string, TasksOnMachine>();
    for (const binding of machine.bound.values()) {
      const job = this.dependencies.shardState.jobs.get(binding.job);
      if (!job || binding.stop) continue;
      const known = groups.get(binding.job);
      groups.set(binding.job, { binding, job, tasks: (known?.tasks ?? 0) + 1 });
    }
    return [...groups.values()];
  }

  /**
   * Whether stopping the tasks frees their capacity before they would end by the job's estimate. Tasks that
   * have run for more than twice the estimate are always worth stopping, since the estimate is then useless.
   */
  private isWorthStopping({ binding, job }: TasksOnMachine, now: number): boolean {
    const { estimateS } = job.spec;
    const leftS = estimateS - (now - (binding.runningAt ?? now)) / 1000;
    return leftS > this.dependencies.shardState.saveGraceS(job) || leftS < -estimateS;
  }
}
