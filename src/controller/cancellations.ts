/**
 * Connects the cancellation subsystem to the rest of the controller. A controller finds out whether the
 * holder of the job's shard acts on a cancellation through a direct request to the holder, or, where
 * controllers cannot connect to each other, through a durable acknowledgement in the key-value store. Created
 * by the composition root for the users' API.
 */
import { CancellationAcknowledgement } from '../cancellation/acknowledgement.js';
import { DurableAcknowledgements } from '../cancellation/durable-acknowledgement.js';
import { ACKNOWLEDGEMENT_PROTOCOL_VERSION } from '../constants/protocol.js';
import type { ControllerContext } from './context.js';
import type { Coordination } from './coordination.js';
import type { HeldShards } from './held-shards.js';

/** The parts of the cancellation subsystem. */
export interface Cancellations {
  readonly acknowledgement: CancellationAcknowledgement;
  readonly durableAcknowledgements: DurableAcknowledgements;
}

/** Creates the cancellation subsystem of one controller. */
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
