/**
 * Coordination among the controllers: connections to peers, the agreed protocol version, this controller's
 * lease and claims, and the duties that belong to the claims. Created by the composition root; the subsystems
 * created later look up the holders of claims here.
 */
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { LeaseManager } from '../claims/lease-manager.js';
import { outageGraceDeadline } from '../claims/outage-grace.js';
import { FENCED_ORDERS_PROTOCOL_VERSION } from '../constants/protocol.js';
import { composeDuties, type Duties } from '../duties/compose.js';
import type { ServerResponse } from '../http/model.js';
import type { PeerHeartbeat } from '../peers/heartbeat.js';
import { PeerNetwork } from '../peers/network.js';
import type { PeerView } from '../peers/peer-view.js';
import { ProtocolVersion } from '../peers/protocol-version.js';
import { readPeerAddresses } from './address-codec.js';
import type { ControllerContext } from './context.js';

/**
 * The functions that coordination needs from subsystems that are created after it. Coordination calls them
 * only once the controller runs.
 */
export interface CoordinationDependencies {
  /** Returns the heartbeat that this controller sends to a peer. */
  readonly heartbeat: (to: string) => PeerHeartbeat;
  /** Answers a peer's request that is not a heartbeat; null: the path is unknown. */
  readonly answer: (path: string, body: unknown) => Promise<ServerResponse | null>;
  /** Returns the current value of `ClaimsSnapshot.unreachableShards`. */
  readonly unreachableShards: () => ReadonlyMap<string, string>;
}

/** Coordination among the controllers. */
export interface Coordination {
  readonly peerNetwork: PeerNetwork;
  /** The state of the peers according to their heartbeats. */
  readonly peers: PeerView;
  readonly protocolVersion: ProtocolVersion;
  readonly leases: LeaseManager;
  readonly duties: Duties;
  /**
   * Returns the name of the controller that holds the leadership according to the watch cache; undefined: no
   * controller holds it.
   */
  readonly leaderNode: () => string | undefined;
  /** Whether this controller may act as the leader now. */
  readonly mayLead: () => boolean;
}

const createPeerNetwork = (
  { settings, deployment, clocks, ports }: ControllerContext,
  { heartbeat, answer }: CoordinationDependencies,
  leaderNode: () => string | undefined,
): PeerNetwork =>
  new PeerNetwork({
    ownNode: deployment.self.node,
    peers: readPeerAddresses(settings),
    now: clocks.lease,
    createHttpClient: ports.createHttpClient,
    leader: leaderNode,
    heartbeat,
    answer,
  });

/** Creates the coordination of one controller. */
export const createCoordination = (
  context: ControllerContext,
  dependencies: CoordinationDependencies,
): Coordination => {
  const { settings, deployment, clocks, storeAccess } = context;
  const leaderNode = (): string | undefined => leases.claim(LEADER_CLAIM)?.node;
  const peerNetwork = createPeerNetwork(context, dependencies, leaderNode);
  const peers = peerNetwork.view;
  const protocolVersion: ProtocolVersion = new ProtocolVersion({
    store: storeAccess.store,
    cache: storeAccess.cache,
    announcedVersions: () => peers.announcedVersions(),
    beginAgreement: () => duties.registry.leaderDuty('protocol-level').begin('agreed protocol level'),
  });
  const leases: LeaseManager = new LeaseManager(storeAccess.store, storeAccess.cache, {
    self: deployment.self,
    controllers: deployment.nodes,
    shardCount: deployment.shardCount,
    peers: () => peers.statuses(),
    outageGraceUntil: () =>
      outageGraceDeadline({
        controllerCount: deployment.nodes.length,
        msSinceStoreAnswered: storeAccess.msSinceAnswered,
        peers,
        protocolVersion,
        cache: storeAccess.cache,
        cancellationLimitS: settings.facts.workers.cancel_s,
        workerLeaseS: settings.facts.workers.lease_s,
      }),
    unreachableShards: dependencies.unreachableShards,
    now: clocks.lease,
  });
  const duties: Duties = composeDuties({
    leases,
    store: storeAccess.store,
    valueBytes: deployment.valueBytes,
    timeOfDay: clocks.wall,
    enforceFencing: context.features.fencing,
    tokensRequired: () => protocolVersion.agreed >= FENCED_ORDERS_PROTOCOL_VERSION,
  });
  const mayLead = (): boolean => leases.actingClaimRevision(LEADER_CLAIM) !== null;
  return { peerNetwork, peers, protocolVersion, leases, duties, leaderNode, mayLead };
};
