/**
 * Builds the summary of a shard for the leader: its unmet demand and its spare machines. Owns the latest
 * summary and a digest of what the leader was last notified of. `Shard` calls it at the end of each round.
 */
import { SHARD_SUMMARY_INTERVAL_MS } from '../constants/peers.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { Catalog } from '../jobs/model.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { AvailableCapacity, UnplacedRequest } from './placement-model.js';
import type { ShardIdentity, SteadyClock, WallClock } from './ports.js';
import type { ShardContext } from './shard-context.js';
import type { ShardMachine } from './shard-model.js';
import type { ShardState } from './shard-state.js';
import { spareMachines } from './spare-machines.js';
import type { TeamUsage } from './team-limits.js';
import { unmetDemand } from './unmet-demand.js';

/** What the summary builder needs of its shard. */
export interface ShardSummaryBuilderDependencies
  extends
    ShardIdentity,
    SteadyClock,
    WallClock,
    Pick<ShardContext, 'limits' | 'objectives' | 'notifyLeader'> {
  readonly shardState: ShardState;
  readonly cache: Pick<WatchCache, 'revision'>;
  /** Whether the machine may be transferred to another shard. */
  readonly isTransferable: (machine: ShardMachine) => boolean;
}

/** Builds the summaries of one shard. */
export class ShardSummaryBuilder {
  /** The latest summary; null: the shard has not run a placement round yet. */
  latest: ShardSummary | null = null;
  /** ms on the steady clock: when the latest summary was built. */
  private updatedAt = 0;
  private lastDigest = '';

  constructor(private readonly dependencies: ShardSummaryBuilderDependencies) {}

  /** Builds the summary from the outcome of a round, at most once per `SHARD_SUMMARY_INTERVAL_MS`. */
  update(
    unplaced: readonly UnplacedRequest[],
    capacities: readonly AvailableCapacity[],
    usages: Map<string, TeamUsage>,
    catalog: Catalog,
  ): void {
    const { limits, objectives, cache, shardId, claim } = this.dependencies;
    const now = this.dependencies.now();
    if (now - this.updatedAt < SHARD_SUMMARY_INTERVAL_MS) return;
    this.updatedAt = now;
    const wall = this.dependencies.wall();
    const needs = unmetDemand({ unplaced, capacities, limits, usages, catalog, objectives, wall });
    const spares = spareMachines(this.freeMachines(), now);
    this.latest = {
      shardId,
      claim,
      revision: cache.revision,
      needs,
      spares: spares.listed,
      unlisted: spares.unlisted,
    };
    this.notifyOfChange(this.latest);
  }

  private freeMachines(): readonly ShardMachine[] {
    const { shardState, isTransferable } = this.dependencies;
    return [...shardState.machines.values()].filter(
      (machine) => machine.bound.size === 0 && isTransferable(machine),
    );
  }

  /**
   * Notifies the leader at once if the unmet demand has changed, or, while there is any, the number of spare
   * machines. Other changes reach the leader with the next heartbeat between controllers.
   */
  private notifyOfChange({ needs, spares }: ShardSummary): void {
    const digest = [
      ...needs.map((need) => `${need.tasks}:${need.gangs.map((gang) => gang.job).join()}`),
      needs.length > 0 ? spares.length : '',
    ].join('|');
    if (digest !== this.lastDigest) this.dependencies.notifyLeader();
    this.lastDigest = digest;
  }
}
