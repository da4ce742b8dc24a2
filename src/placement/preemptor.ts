import {
  MAX_JOBS_PER_PREEMPTION_SEARCH,
  PREEMPTION_DELAY_MS,
  PREEMPTION_SEARCH_INTERVAL_MS,
} from '../constants/preemption.js';
import type { JobSpec } from '../jobs/model.js';
import { log } from '../log.js';
import type { AvailableCapacity } from './bin-packing.js';
import { preempt, type Eviction, type OccupiedMachine } from './preemption.js';
import type { ShardState } from './shard-state.js';
import type { Binding, ShardJob } from './shard-model.js';
import type { UnplacedRequest } from './unmet-demand.js';

/** What the preemptor needs of its share. */
export interface PreemptorDependencies {
  readonly shardId: number;
  readonly shardState: ShardState;
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** Has another share a free machine that would do for this job? */
  readonly spareElsewhere: (shardId: number, spec: JobSpec) => boolean;
}

/** Stops groups of lower priority for jobs that find no room, at a bounded pace. */
export class Preemptor {
  private lastSearchAt = 0;

  constructor(private readonly dependencies: PreemptorDependencies) {}

  /**
   * Whole groups of lower priority go when nothing else helps: no room here, no free machine in another share
   * that would do, and nothing already on its way out. All jobs that need it are decided together, the most
   * important first, each only if it can start for it: after the loss of a zone, dozens of services wait for
   * room at once.
   */
  run(left: readonly UnplacedRequest[], capacities: readonly AvailableCapacity[]): void {
    const now = this.dependencies.now();
    if (now - this.lastSearchAt < PREEMPTION_SEARCH_INTERVAL_MS) return;
    const candidates = left
      .filter(
        ({ request }) =>
          request.spec.priority > 0 && this.dependencies.wall() - request.at >= PREEMPTION_DELAY_MS,
      )
      .slice(0, MAX_JOBS_PER_PREEMPTION_SEARCH);
    if (candidates.length === 0 || this.evictionsUnderWay()) return;
    this.lastSearchAt = now;
    let machines = this.occupied(capacities);
    for (const { request, count } of candidates) {
      if (this.dependencies.spareElsewhere(this.dependencies.shardId, request.spec)) continue;
      const { spec, inZones, failedOn } = request;
      const preemption = preempt({ spec, count, inZones, failedOn }, machines);
      for (const eviction of preemption.evictions) this.evict(eviction, request.job);
      machines = preemption.machines;
    }
  }

  private evictionsUnderWay(): boolean {
    for (const machine of this.dependencies.shardState.machines.values())
      for (const binding of machine.bound.values()) if (binding.stop?.reason === 'evicted') return true;
    return false;
  }

  private evict(victim: Eviction, beneficiary: string): void {
    const { shardState } = this.dependencies;
    const job = shardState.jobs.get(victim.job);
    if (!job) return;
    log.info({ event: 'job.preempted', job: victim.job, machine: victim.machine, for: beneficiary });
    for (const binding of job.bindings.values()) {
      if (job.spec.kind === 'gang' || binding.machine === victim.machine)
        shardState.stop(binding, 'evicted', shardState.graceOf(job));
    }
  }

  private occupied(capacities: readonly AvailableCapacity[]): readonly OccupiedMachine[] {
    const now = this.dependencies.now();
    const occupied: OccupiedMachine[] = [];
    for (const capacity of capacities) {
      const machine = this.dependencies.shardState.machines.get(capacity.id);
      if (!machine || !capacity.live) continue;
      const groups = new Map<string, { binding: Binding; job: ShardJob; tasks: number }>();
      for (const binding of machine.bound.values()) {
        const job = this.dependencies.shardState.jobs.get(binding.job);
        if (!job || binding.stop) continue;
        const known = groups.get(binding.job);
        groups.set(binding.job, { binding, job, tasks: (known?.tasks ?? 0) + 1 });
      }
      occupied.push({
        id: capacity.id,
        type: capacity.type,
        zone: capacity.zone,
        spot: capacity.spot,
        free: capacity.free,
        groups: [...groups.values()]
          // What ends before it could be stopped is not worth stopping.
          .filter(({ binding, job }) => {
            const leftS = job.spec.estimateS - (now - (binding.runningAt ?? now)) / 1000;
            return leftS > this.dependencies.shardState.graceOf(job) || leftS < -job.spec.estimateS;
          })
          .map(({ job, tasks }) => ({
            job: job.spec.id,
            priority: job.spec.priority,
            gang: job.spec.kind === 'gang',
            tasks,
            demand: {
              cpus: job.spec.cpus * tasks,
              gpus: job.spec.gpus * tasks,
              memoryGb: job.spec.memoryGb * tasks,
            },
          })),
      });
    }
    return occupied;
  }
}
