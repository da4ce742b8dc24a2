/**
 * The shards that this process holds and the subsystems that they share: pipelines of jobs, scarce machine
 * types and boot-bound machine types. Created by the composition root.
 */
import { BootBoundTypes } from '../fleet/boot-bound-types.js';
import { ScarceTypes } from '../fleet/scarce-types.js';
import { Pipelines } from '../pipelines/pipelines.js';
import { Shard } from '../placement/shard.js';
import type { ShardContext } from '../placement/shard-context.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import { HeldShards } from './held-shards.js';
import type { Leadership } from './leadership.js';
import { createShardContext } from './shard-context.js';
import { hasSpareElsewhere } from './spare-capacity.js';
import { directSummaries } from './summaries.js';

/** The shards that this process holds and the subsystems that they share. */
export interface Sharding {
  readonly shards: HeldShards;
  readonly pipelines: Pipelines;
  readonly scarceTypes: ScarceTypes;
  readonly bootBoundTypes: BootBoundTypes;
}

/** Creates the sharding of one controller; `leadership` is first called once the controller runs. */
export const createSharding = (
  context: ControllerContext,
  coordination: Coordination,
  leadership: () => Leadership,
): Sharding => {
  const { deployment, storeAccess } = context;
  const scarceTypes = new ScarceTypes(storeAccess.catalog);
  const bootBoundTypes = new BootBoundTypes(storeAccess.catalog, deployment.objectives);
  const pipelines: Pipelines = new Pipelines({
    cache: storeAccess.cache,
    finalRecords: storeAccess.finalRecords,
    ownsTeam: (team) => shards.isHeld(deployment.shardOf(team)),
    onChange: (jobs) => {
      for (const job of jobs) shards.forEach((shard) => shard.onEffectivePriority(job));
    },
  });
  const spareElsewhere: ShardContext['spareElsewhere'] = (shardId, spec) =>
    hasSpareElsewhere(
      {
        summaries: () => directSummaries({ shards, peers: coordination.peers }),
        catalog: storeAccess.catalog,
      },
      shardId,
      spec,
    );
  const subsystems = {
    context,
    coordination,
    scarceTypes,
    bootBoundTypes,
    pipelines,
    spareElsewhere,
    leadership,
  };
  const shards: HeldShards = new HeldShards({
    shardCount: deployment.shardCount,
    leases: coordination.leases,
    create: (shardId, claim) => new Shard(shardId, claim, createShardContext(subsystems, shardId, claim)),
    onTaken: () => pipelines.resolveAllDependencies(),
  });
  return { shards, pipelines, scarceTypes, bootBoundTypes };
};
