/**
 * The composition root of a controller: creates the subsystems and connects them. Makes no decisions itself.
 */
import type * as Effect from 'effect/Effect';
import { divideStoreRates } from '../peers/rate-division.js';
import { NO_FEATURES, type Features } from '../settings/features.js';
import { ALLOW_ANY_ADDRESS, type AdminAccess } from '../settings/networks.js';
import type { Settings } from '../settings/schema.js';
import { decodeChange } from '../kv-store/change-feed.js';
import { createApi, createPeerRequests, createWorkerHeartbeatHandler } from './api.js';
import { createCancellations } from './cancellations.js';
import { ChangeDispatcher } from './change-dispatcher.js';
import { createContext } from './context.js';
import { createCoordination, type Coordination } from './coordination.js';
import { createHeartbeat } from './heartbeat.js';
import { createLeadership, type Leadership } from './leadership.js';
import { findUnreachableShards } from './misrouting.js';
import type { Controller, Ports } from './ports.js';
import { createSharding } from './sharding.js';
import type { Subsystems } from './subsystems.js';
import { superviseAll } from './supervise.js';

/**
 * Creates the subsystems, which depend on each other. Each subsystem receives the subsystems created before
 * it directly, and those created after it through functions that are first called once all subsystems exist.
 */
const createSubsystems = (settings: Settings, ports: Ports, features: Features): Subsystems => {
  const context = createContext(settings, ports, features);
  const { deployment, storeAccess } = context;
  const coordination: Coordination = createCoordination(context, {
    heartbeat: (to) => createHeartbeat(heartbeatSources, to),
    answer: (path, body) => peerRequests.answer(path, body),
    unreachableShards: () => findUnreachableShards({ shards, peers: coordination.peers }),
  });
  const sharding = createSharding(context, coordination, () => leadership);
  const { shards } = sharding;
  const leadership: Leadership = createLeadership(context, coordination, shards);
  const cancellations = createCancellations(context, coordination, shards);
  const heartbeatHandler = createWorkerHeartbeatHandler(context, shards, leadership);
  const peerRequests = createPeerRequests(coordination, shards, leadership);
  const heartbeatSources = {
    self: deployment.self,
    leases: coordination.leases,
    leaderNode: coordination.leaderNode,
    msSinceStoreAnswered: storeAccess.msSinceAnswered,
    store: storeAccess.store,
    shards,
    heartbeatHandler,
    reservations: () => leadership.reservations.announced(),
  };
  return { context, coordination, sharding, leadership, cancellations, heartbeatHandler };
};

/** Subscribes the subsystems to changes of the shared keys. */
const subscribeToChanges = (subsystems: Subsystems): void => {
  const { context, coordination, sharding, leadership, cancellations } = subsystems;
  const { cache } = context.storeAccess;
  const dispatcher = new ChangeDispatcher({
    cache,
    relay: leadership.relay,
    orderVerifier: coordination.duties.orderVerifier,
    dutyRegistry: coordination.duties.registry,
    shards: sharding.shards,
    scarceTypes: sharding.scarceTypes,
    bootBoundTypes: sharding.bootBoundTypes,
    pipelines: sharding.pipelines,
    durableAcknowledgements: cancellations.durableAcknowledgements,
    shardOf: context.deployment.shardOf,
  });
  cache.onEvent((event) => dispatcher.dispatch(decodeChange(event)));
};

/** Runs the loops of all subsystems for as long as the controller runs; each shard has a fiber of its own. */
const createRun = (subsystems: Subsystems): Effect.Effect<unknown> => {
  const { context, coordination, sharding, leadership, cancellations } = subsystems;
  const { store, cache } = context.storeAccess;
  const { leases, peers, peerNetwork, protocolVersion } = coordination;
  return superviseAll({
    cache: cache.run,
    leases: leases.run,
    peers: peerNetwork.run,
    leader: leadership.leader.run,
    relay: leadership.relay.run,
    rates: divideStoreRates(store, () => peers.storeDemands()),
    protocolVersion: protocolVersion.run,
    pipelines: sharding.pipelines.run,
    acknowledgements: cancellations.durableAcknowledgements.run,
  });
};

/** Composes one controller. The controller starts no work of its own before its `run` is started. */
export const compose = (
  settings: Settings,
  ports: Ports,
  features: Features = NO_FEATURES,
  adminAccess: AdminAccess = ALLOW_ANY_ADDRESS,
): Controller => {
  const subsystems = createSubsystems(settings, ports, features);
  const { coordination, sharding } = subsystems;
  subscribeToChanges(subsystems);
  return {
    route: createApi(subsystems, adminAccess),
    peerRoute: (call) => coordination.peerNetwork.handle(call),
    run: createRun(subsystems),
    stop: () => sharding.shards.stop(),
  };
};
