/**
 * Creates the context of one shard, which holds what the shard needs from the rest of the controller. No
 * state; called when a shard is taken.
 */
import { PIPELINES_PROTOCOL_VERSION } from '../constants/protocol.js';
import { releaseWithoutIntent } from '../duties/release-without-intent.js';
import type { BootBoundTypes } from '../fleet/boot-bound-types.js';
import type { ScarceTypes } from '../fleet/scarce-types.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { ShardContext } from '../placement/shard-context.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { Leadership } from './leadership.js';

/** The subsystems that a shard uses. */
export interface ShardSubsystems {
  readonly context: ControllerContext;
  readonly coordination: Coordination;
  readonly scarceTypes: ScarceTypes;
  readonly bootBoundTypes: BootBoundTypes;
  readonly pipelines: Pipelines;
  readonly spareElsewhere: ShardContext['spareElsewhere'];
  /** Returns the leadership, which is created after the shards. */
  readonly leadership: () => Leadership;
}

/** The fields that depend on the shard and its claim. All other fields are the same for all shards. */
type ClaimContext = Pick<
  ShardContext,
  'mayAct' | 'reservations' | 'sendCommands' | 'releaseNow' | 'cleanUpDuty' | 'onLoaded'
>;

const createClaimContext = (subsystems: ShardSubsystems, shardId: number, claim: number): ClaimContext => {
  const { context, coordination, leadership } = subsystems;
  const { leases, duties, peerNetwork, leaderNode } = coordination;
  const mayAct = (): boolean => leases.actingClaimRevision(String(shardId)) === claim;
  return {
    mayAct,
    reservations: () => leadership().reservations.forShard(shardId),
    // `mayAct` is checked again directly before sending, since this process may have been paused after the
    // decision.
    sendCommands: (addr, token, agentEpoch, commands) =>
      mayAct()
        ? context.ports.workerClient.send(addr, token, agentEpoch, commands)
        : Promise.resolve({ _tag: 'refused', heartbeat: null }),
    releaseNow: (machines) =>
      releaseWithoutIntent(
        {
          shardId,
          duty: duties.registry.shardDuty(shardId, 'reclaim'),
          ownNode: context.deployment.self.node,
          leaderNode,
          msSinceStoreAnswered: context.storeAccess.msSinceAnswered,
          releaseLocally: (own) => leadership().leader.releaseNow(own),
          sendRequest: (node, path, body, timeoutMs) => peerNetwork.request(node, path, body, timeoutMs),
        },
        machines,
      ),
    cleanUpDuty: context.features.fencing ? duties.registry.shardDuty(shardId, 'clean-up') : null,
    onLoaded: () => duties.registry.shardLoaded(shardId, claim),
  };
};

/** Creates the context that a shard uses for as long as its claim has this revision. */
export const createShardContext = (
  subsystems: ShardSubsystems,
  shardId: number,
  claim: number,
): ShardContext => {
  const { context, coordination, scarceTypes, bootBoundTypes, pipelines } = subsystems;
  const { settings, ports, deployment, clocks, storeAccess } = context;
  return {
    ...createClaimContext(subsystems, shardId, claim),
    store: storeAccess.store,
    cache: storeAccess.cache,
    catalog: storeAccess.catalog,
    scarceDemand: (type) => scarceTypes.demand(type),
    isBootBound: (type) => bootBoundTypes.has(type),
    shardOfTeam: deployment.shardByTeam,
    limits: deployment.limits,
    guarantees: deployment.guarantees,
    objectives: deployment.objectives,
    workers: settings.facts.workers,
    valueBytes: deployment.valueBytes,
    maySplit: () => coordination.protocolVersion.agreed >= PIPELINES_PROTOCOL_VERSION,
    coreFraction: settings.facts.quota.core_share,
    spareElsewhere: subsystems.spareElsewhere,
    now: clocks.steady,
    processorMs: ports.processorMs,
    wall: clocks.wall,
    onFinalRecord: (job, final) => pipelines.onFinalRecord(job, final),
    readiness: (job) => pipelines.readiness(job),
    effectivePriority: (job) => pipelines.effectivePriority(job),
    notifyLeader: () => coordination.peerNetwork.notifyLeader(),
  };
};
