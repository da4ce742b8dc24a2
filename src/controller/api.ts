/**
 * Creates the request handlers of this controller's two addresses: the API address for users, operators,
 * workers and health checks, and the peer address for requests of other controllers, except heartbeats. The
 * composition root calls these functions.
 */
import { PIPELINES_PROTOCOL_VERSION } from '../constants/protocol.js';
import { DutiesApi } from '../duties/admin-api.js';
import type { ServerRequest, ServerResponse } from '../http/model.js';
import { UsersApi } from '../jobs/api.js';
import { PeerRequests } from '../peers/peer-requests.js';
import type { AdminAccess } from '../settings/networks.js';
import { WorkerHeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { HeldShards } from './held-shards.js';
import type { Leadership } from './leadership.js';
import { isReady } from './readiness.js';
import { createRouter } from './router.js';
import type { Subsystems } from './subsystems.js';

const createUsersApi = ({ context, coordination, sharding, cancellations }: Subsystems): UsersApi => {
  const { deployment, clocks, storeAccess } = context;
  const { protocolVersion, peers } = coordination;
  return new UsersApi({
    store: storeAccess.store,
    linearizableReads: storeAccess.linearizableReads,
    finalRecords: storeAccess.finalRecords,
    pipelines: sharding.pipelines,
    pipelinesSupported: () => protocolVersion.agreed >= PIPELINES_PROTOCOL_VERSION,
    valueBytes: deployment.valueBytes,
    cacheAgeMs: () => clocks.lease() - storeAccess.cache.confirmedAt,
    mayConfirmCancellation: (job, team, version) =>
      cancellations.acknowledgement.mayConfirmCancellation(deployment.shardOf(team), job, version),
    cache: storeAccess.cache,
    catalog: storeAccess.catalog,
    limits: deployment.limits,
    taskCounts: (job, team) => {
      const shardId = deployment.shardOf(team);
      return sharding.shards.actingShard(shardId)?.taskCounts(job) ?? peers.taskCounts(shardId, job);
    },
    wallClock: clocks.wall,
  });
};

const createDutiesApi = (
  { context, coordination, leadership }: Subsystems,
  adminAccess: AdminAccess,
): DutiesApi =>
  new DutiesApi({
    node: context.deployment.self.node,
    registry: coordination.duties.registry,
    access: adminAccess,
    ready: () => context.storeAccess.cache.ready,
    releaseIntents: () => leadership.leader.releaseIntents,
    loadProvisioningRecord: coordination.duties.loadProvisioningRecord,
  });

/** Creates the request handler of the API address. */
export const createApi = (
  subsystems: Subsystems,
  adminAccess: AdminAccess,
): ((call: ServerRequest) => Promise<ServerResponse>) => {
  const { storeAccess } = subsystems.context;
  const { peers } = subsystems.coordination;
  return createRouter({
    ready: () => isReady({ storeAccess, peers }),
    workerHeartbeats: subsystems.heartbeatHandler,
    users: createUsersApi(subsystems),
    duties: createDutiesApi(subsystems, adminAccess),
  });
};

/** Creates the handler of worker heartbeats. */
export const createWorkerHeartbeatHandler = (
  { deployment, clocks, storeAccess }: ControllerContext,
  shards: HeldShards,
  leadership: Leadership,
): WorkerHeartbeatHandler =>
  new WorkerHeartbeatHandler({
    ownNode: deployment.self.node,
    cache: storeAccess.cache,
    now: clocks.steady,
    shard: (shardId) => shards.actingShard(shardId),
    adopt: leadership.adopt,
  });

/** Creates the handler of requests from other controllers, heartbeats excepted. */
export const createPeerRequests = (
  { duties }: Coordination,
  shards: HeldShards,
  { leader, transfers }: Leadership,
): PeerRequests =>
  new PeerRequests({
    orderVerifier: duties.orderVerifier,
    transferMachines: (from, machineTransfers) => transfers.carryOut(from, machineTransfers),
    releaseNow: (machines) => leader.releaseNow(machines),
    acknowledge: (cancellation) => shards.acknowledge(cancellation),
  });
