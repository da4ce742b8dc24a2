/**
 * The leader and the subsystems that carry its decisions to the shards: the relay through the key-value
 * store, transfers and reservations. Every controller has all of them; the leader acts only while this
 * controller holds the leadership.
 */
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { PIPELINES_PROTOCOL_VERSION } from '../constants/protocol.js';
import { Cloud } from '../fleet/cloud.js';
import { Leader } from '../fleet/leader.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import { parseTarget } from '../http/model.js';
import { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { WorkerHeartbeat } from '../workers/model.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { HeldShards } from './held-shards.js';
import { Reservations } from './reservations.js';
import { collectSummaries } from './summaries.js';
import { Transfers } from './transfers.js';

/** The leader and the subsystems that carry its decisions to the shards. */
export interface Leadership {
  readonly leader: Leader;
  readonly relay: KeyValueStoreRelay;
  readonly transfers: Transfers;
  readonly reservations: Reservations;
  /**
   * Passes the machine that sent this worker heartbeat, and for which there is no record, to the leader for
   * adoption; false: this controller is not the leader.
   */
  readonly adopt: (heartbeat: WorkerHeartbeat) => boolean;
}

/**
 * Returns the summaries of the shards held here if the leader is another controller from which no recent
 * heartbeat was received; else none.
 */
const summariesToRelay = (
  { deployment }: ControllerContext,
  { leaderNode, peers }: Coordination,
  shards: HeldShards,
): readonly ShardSummary[] => {
  const leader = leaderNode();
  const leaderUnreachable =
    leader !== undefined && leader !== deployment.self.node && peers.recentHeartbeat(leader) === null;
  return leaderUnreachable ? shards.ownSummaries() : [];
};

const createCloud = ({ settings, ports, deployment, clocks }: ControllerContext): Cloud =>
  new Cloud(
    parseTarget(settings.services.cloud),
    settings.facts.cloud.rps,
    deployment.nodes.length,
    clocks.steady,
    ports.createHttpClient,
  );

/** Creates the relay; `transfers` is first called once the controller runs. */
const createRelay = (
  context: ControllerContext,
  coordination: Coordination,
  shards: HeldShards,
  transfers: () => Transfers,
): KeyValueStoreRelay =>
  new KeyValueStoreRelay({
    store: context.storeAccess.store,
    valueBytes: context.deployment.valueBytes,
    now: context.clocks.steady,
    leaderClaim: () => coordination.leases.claim(LEADER_CLAIM)?.revision ?? null,
    summariesToRelay: () => summariesToRelay(context, coordination, shards),
    transferMachines: (shardId, machineTransfers) => void transfers().carryOut(shardId, machineTransfers),
  });

/** Creates the leadership of one controller. */
export const createLeadership = (
  context: ControllerContext,
  coordination: Coordination,
  shards: HeldShards,
): Leadership => {
  const { settings, deployment, clocks, storeAccess } = context;
  const { peerNetwork, peers, leases, duties, protocolVersion, mayLead } = coordination;
  const relay: KeyValueStoreRelay = createRelay(context, coordination, shards, () => transfers);
  const transfers = new Transfers({
    node: deployment.self.node,
    shards,
    leases,
    peers,
    peerNetwork,
    relay,
    reservations: () => leader.reservations,
  });
  const leader: Leader = new Leader({
    store: storeAccess.store,
    cache: storeAccess.cache,
    cloud: createCloud(context),
    duties: duties.registry,
    journal: duties.journal,
    shardCount: deployment.shardCount,
    listLagS: settings.facts.cloud.list_lag_s,
    valueBytes: deployment.valueBytes,
    maySplit: () => protocolVersion.agreed >= PIPELINES_PROTOCOL_VERSION,
    catalog: storeAccess.catalog,
    actingRevision: () => leases.actingClaimRevision(LEADER_CLAIM),
    summaries: () => collectSummaries({ shardCount: deployment.shardCount, leases, shards, peers, relay }),
    orderTransfers: (from, machineTransfers, permit) => transfers.order(from, machineTransfers, permit),
    now: clocks.steady,
    wall: clocks.wall,
  });
  const reservations = new Reservations({ coordination, leader, peers, relay });
  const adopt = ({ machine, type, zone, spot }: WorkerHeartbeat): boolean => {
    if (!mayLead()) return false;
    leader.adopt(machine, type, zone, spot);
    return true;
  };
  return { leader, relay, transfers, reservations, adopt };
};
