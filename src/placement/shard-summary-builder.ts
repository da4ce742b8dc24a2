/**
 * What the leader is told of a shard: its unmet demand and its spare machines. Owns the latest summary and
 * what of it the leader was last notified of. `Shard` calls it at the end of each round.
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

/** What the summary of a shard needs of it. */
export interface ShardSummaryBuilderDependencies
  extends
    ShardIdentity,
    SteadyClock,
    WallClock,
    Pick<ShardContext, 'limits' | 'objectives' | 'notifyLeader'> {
  readonly shardState: ShardState;
  readonly cache: Pick<WatchCache, 'revision'>;
  /** Is the machine free to go to another shard? */
  readonly isTransferable: (machine: ShardMachine) => boolean;
}

/** Builds the summaries of one shard. */
export class ShardSummaryBuilder {
  /** Null: nothing was placed yet. */
  latest: ShardSummary | null = null;
  /** ms on the steady clock. */
  private updatedAt = 0;
  private lastAnnounced = '';

  constructor(private readonly dependencies: ShardSummaryBuilderDependencies) {}

  /** Takes in the outcome of a round, at most once in `SHARD_SUMMARY_INTERVAL_MS`. */
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
    this.announce(this.latest);
  }

  private freeMachines(): readonly ShardMachine[] {
    const { shardState, isTransferable } = this.dependencies;
    return [...shardState.machines.values()].filter(
      (machine) => machine.bound.size === 0 && isTransferable(machine),
    );
  }

  /** The leader hears at once of what is new; what merely goes on waiting comes with the next heartbeat. */
  private announce({ needs, spares }: ShardSummary): void {
    const announced = [
      ...needs.map((need) => `${need.tasks}:${need.gangs.map((gang) => gang.job).join()}`),
      needs.length > 0 ? spares.length : '',
    ].join('|');
    if (announced !== this.lastAnnounced) this.dependencies.notifyLeader();
    this.lastAnnounced = announced;
  }
}
