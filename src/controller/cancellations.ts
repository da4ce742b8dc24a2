/**
 * How this controller learns that a cancellation is acted on: by asking the holder of the job's shard, or
 * from durable acknowledgements where controllers can't connect. Built by the composition root for the
 * users' API.
 */
import { CancellationAcknowledgement } from '../cancellation/acknowledgement.js';
import { DurableAcknowledgements } from '../cancellation/durable-acknowledgement.js';
import { ACKNOWLEDGEMENT_PROTOCOL_VERSION } from '../constants/protocol.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { HeldShards } from './held-shards.js';

/** How this controller learns that a cancellation is acted on. */
export interface Cancellations {
  readonly acknowledgement: CancellationAcknowledgement;
  readonly durableAcknowledgements: DurableAcknowledgements;
}

/** Creates the acknowledgement of cancellations of one controller. */
export const createCancellations = (
  { deployment, storeAccess }: ControllerContext,
  { peers, peerNetwork, protocolVersion }: Coordination,
  shards: HeldShards,
): Cancellations => ({
  acknowledgement: new CancellationAcknowledgement({
    ownNode: deployment.self.node,
    store: storeAccess.store,
    linearizableReads: storeAccess.linearizableReads,
    cache: storeAccess.cache,
    acknowledge: (cancellation) => shards.acknowledge(cancellation),
    request: (node, path, body) => peerNetwork.request(node, path, body),
    summaries: () => peers.summaries(),
    supportsAcknowledgement: (node) =>
      node === deployment.self.node ||
      protocolVersion.agreed >= ACKNOWLEDGEMENT_PROTOCOL_VERSION ||
      peers.supportsVersion(node, ACKNOWLEDGEMENT_PROTOCOL_VERSION),
  }),
  durableAcknowledgements: new DurableAcknowledgements({
    store: storeAccess.store,
    cache: storeAccess.cache,
    loadedShards: () => shards.loaded(),
    allPeersConnected: () => peers.allConnected(),
  }),
});
