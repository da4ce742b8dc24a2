import { SHARD_SUMMARY_INTERVAL_MS } from '../constants/peers.js';
import type { ShardSummary } from '../fleet/records.js';
import type { Catalog } from '../jobs/model.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { AvailableCapacity, TeamLimit, TeamUsage } from './bin-packing.js';
import type { ShardState } from './shard-state.js';
import type { ShardMachine } from './shard-model.js';
import { spareMachines, unmetDemand, type UnplacedRequest } from './unmet-demand.js';
import type { Objectives } from './urgency.js';

/** What the summary of a share needs of it. */
export interface ShardSummaryBuilderDependencies {
  readonly shardId: number;
  readonly claim: number;
  readonly shardState: ShardState;
  readonly cache: Pick<WatchCache, 'revision'>;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
  /** Is the machine free to go to another share? */
  readonly isTransferable: (machine: ShardMachine) => boolean;
  /** Something changed that the leader waits for. */
  readonly notifyLeader: () => void;
}

/** What the leader is told of a share: its unmet demand and its spare machines. */
export class ShardSummaryBuilder {
  latest: ShardSummary | null = null;
  private plannedAt = 0;
  private lastSaid = '';

  constructor(private readonly dependencies: ShardSummaryBuilderDependencies) {}

  /** What the leader should know. */
  update(
    left: readonly UnplacedRequest[],
    capacities: readonly AvailableCapacity[],
    uses: Map<string, TeamUsage>,
    catalog: Catalog,
  ): void {
    const now = this.dependencies.now();
    if (now - this.plannedAt < SHARD_SUMMARY_INTERVAL_MS) return;
    this.plannedAt = now;
    const needs = unmetDemand(
      left,
      capacities,
      this.dependencies.limits,
      uses,
      catalog,
      this.dependencies.objectives,
      this.dependencies.wall(),
    );
    const free = [...this.dependencies.shardState.machines.values()].filter(
      (machine) => machine.bound.size === 0 && this.dependencies.isTransferable(machine),
    );
    const spares = spareMachines(free, now);
    this.latest = {
      shardId: this.dependencies.shardId,
      claim: this.dependencies.claim,
      revision: this.dependencies.cache.revision,
      needs,
      spares: spares.listed,
      unlisted: spares.unlisted,
    };
    // The leader hears at once of what is new; what merely goes on waiting comes with the next heartbeat.
    const said = [
      ...needs.map((need) => `${need.tasks}:${need.gangs.map((gang) => gang.job).join()}`),
      needs.length > 0 ? this.latest.spares.length : '',
    ].join('|');
    if (said !== this.lastSaid) this.dependencies.notifyLeader();
    this.lastSaid = said;
  }
}
