/**
 * Coordination among the controllers: connections to peers, the agreed protocol version, this node's lease
 * and claims, and the duties that go with them. Built by the composition root; every later subsystem asks it
 * who holds what.
 */
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { LeaseManager } from '../claims/lease-manager.js';
import { outageGrace } from '../claims/outage-grace.js';
import { FENCED_ORDERS_PROTOCOL_VERSION } from '../constants/protocol.js';
import { composeDuties, type Duties } from '../duties/compose.js';
import type { ServerResponse } from '../http.js';
import type { PeerHeartbeat } from '../peers/heartbeat.js';
import { PeerNetwork } from '../peers/network.js';
import { ProtocolVersion } from '../peers/protocol-version.js';
import type { ControllerContext } from './context.js';

/** What coordination needs of subsystems that are built after it; called only once the controller runs. */
export interface CoordinationInput {
  /** What this node tells a peer. */
  readonly heartbeat: (to: string) => PeerHeartbeat;
  /** Answers a peer's request that is not a heartbeat; null: there is nothing under this path. */
  readonly answer: (path: string, body: unknown) => Promise<ServerResponse | null>;
  /** Shards of ours whose workers reach only another node: by slot, that node. */
  readonly unreachableShards: () => ReadonlyMap<string, string>;
}

/** Coordination among the controllers. */
export interface Coordination {
  readonly peers: PeerNetwork;
  readonly protocolVersion: ProtocolVersion;
  readonly leases: LeaseManager;
  readonly duties: Duties;
  /** The node that leads, as far as this node knows. */
  readonly leaderNode: () => string | undefined;
  /** May this node act as the leader now? */
  readonly mayLead: () => boolean;
}

/** Creates the coordination of one controller. */
export const createCoordination = (context: ControllerContext, input: CoordinationInput): Coordination => {
  const { settings, deployment, clocks, state } = context;
  const leaderNode = (): string | undefined => leases.claim(LEADER_CLAIM)?.node;
  const peers = new PeerNetwork({
    me: deployment.me.node,
    peers: settings.siblings,
    now: clocks.lease,
    createHttpClient: context.ports.createHttpClient,
    leader: leaderNode,
    heartbeat: input.heartbeat,
    answer: input.answer,
  });
  const protocolVersion: ProtocolVersion = new ProtocolVersion({
    store: state.store,
    cache: state.cache,
    announced: () => peers.announced(),
    begin: () => duties.registry.leader('protocol-level').begin('agreed protocol level'),
  });
  const leases: LeaseManager = new LeaseManager(state.store, state.cache, {
    self: deployment.me,
    controllers: deployment.nodes,
    shardCount: deployment.shardCount,
    peers: () => peers.peers(),
    outageGraceUntil: () =>
      outageGrace({
        controllerCount: deployment.nodes.length,
        msSinceStoreAnswered: state.ageMs,
        peers,
        protocolVersion,
        cache: state.cache,
        cancellationLimitS: settings.facts.workers.cancel_s,
        workerLeaseS: settings.facts.workers.lease_s,
      }),
    unreachableShards: input.unreachableShards,
    now: clocks.lease,
  });
  const duties: Duties = composeDuties({
    leases,
    store: state.store,
    valueBytes: deployment.valueBytes,
    wall: clocks.wall,
    enforce: context.features.fencing,
    tokensRequired: () => protocolVersion.agreed >= FENCED_ORDERS_PROTOCOL_VERSION,
  });
  const mayLead = (): boolean => leases.actingRevision(LEADER_CLAIM) !== null;
  return { peers, protocolVersion, leases, duties, leaderNode, mayLead };
};
