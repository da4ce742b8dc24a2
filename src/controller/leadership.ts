/**
 * What the leader does and how shards hear of it: the leader itself, the relay through the state service,
 * transfers and reservations. Every controller has all of it; the leader acts only while this node leads.
 */
import { LEADER_CLAIM } from '../claims/claim-decisions.js';
import { PIPELINES_PROTOCOL_VERSION } from '../constants/protocol.js';
import { Cloud } from '../fleet/cloud.js';
import { Leader } from '../fleet/leader.js';
import type { ShardSummary } from '../fleet/records.js';
import { parseTarget } from '../http.js';
import { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { WorkerHeartbeat } from '../workers/model.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { HeldShards } from './held-shards.js';
import { Reservations } from './reservations.js';
import { collectSummaries } from './summaries.js';
import { Transfers } from './transfers.js';

/** What the leader does and how shards hear of it. */
export interface Leadership {
  readonly leader: Leader;
  readonly relay: KeyValueStoreRelay;
  readonly transfers: Transfers;
  readonly reservations: Reservations;
  /** Has the leader adopt the unknown machine of a report; false: this node does not lead. */
  readonly adopt: (heartbeat: WorkerHeartbeat) => boolean;
}

/** Our summaries while the leader is another node that can't be heard; else none. */
const cutOffSummaries = (
  { deployment }: ControllerContext,
  { leaderNode, peers }: Coordination,
  shards: HeldShards,
): readonly ShardSummary[] => {
  const leader = leaderNode();
  const relayed = leader !== undefined && leader !== deployment.me.node && peers.fresh(leader) === null;
  return relayed ? shards.ownSummaries() : [];
};

const createCloud = ({ settings, ports, deployment, clocks }: ControllerContext): Cloud =>
  new Cloud(
    parseTarget(settings.services.cloud),
    settings.facts.cloud.rps,
    deployment.nodes.length,
    clocks.steady,
    ports.createHttpClient,
  );

/** Creates the leadership of one controller. */
export const createLeadership = (
  context: ControllerContext,
  coordination: Coordination,
  shards: HeldShards,
): Leadership => {
  const { settings, deployment, clocks, state } = context;
  const { peers, leases, duties, protocolVersion, mayLead } = coordination;
  const relay: KeyValueStoreRelay = new KeyValueStoreRelay({
    store: state.store,
    valueBytes: deployment.valueBytes,
    now: clocks.steady,
    leaderClaim: () => leases.claim(LEADER_CLAIM)?.version ?? null,
    cutOff: () => cutOffSummaries(context, coordination, shards),
    transferMachines: (shardId, moves) => void transfers.carryOut(shardId, moves),
  });
  const transfers = new Transfers({
    node: deployment.me.node,
    shards,
    leases,
    peers,
    relay,
    reservations: () => leader.reservations,
  });
  const leader: Leader = new Leader({
    store: state.store,
    cache: state.cache,
    cloud: createCloud(context),
    duties: duties.registry,
    journal: duties.journal,
    shardCount: deployment.shardCount,
    listLagS: settings.facts.cloud.list_lag_s,
    valueBytes: deployment.valueBytes,
    maySplit: () => protocolVersion.agreed >= PIPELINES_PROTOCOL_VERSION,
    catalog: state.catalog,
    actingRevision: () => leases.actingRevision(LEADER_CLAIM),
    summaries: () => collectSummaries({ shardCount: deployment.shardCount, leases, shards, peers, relay }),
    orderTransfers: (from, transferred, permit) => transfers.order(from, transferred, permit),
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
