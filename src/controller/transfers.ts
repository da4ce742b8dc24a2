/**
 * Transfers of free machines between shards. The leader orders transfers. The current holder of a machine's
 * shard carries them out, since only the holder can ensure that no task is bound to the machine in the
 * meantime. No state.
 */
import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import type { LeaseManager } from '../claims/lease-manager.js';
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { Reservation } from '../fleet/reservation.js';
import type { PeerNetwork } from '../peers/network.js';
import type { PeerView } from '../peers/peer-view.js';
import { writeTransferOrder } from '../peers/order-codec.js';
import { PEER_PATHS } from '../peers/request-codec.js';
import type { KeyValueStoreRelay } from '../peers/store-relay.js';
import type { HeldShards } from './held-shards.js';

/** What transfers need from the rest of the controller. */
export interface TransfersDependencies {
  /** The name of this controller. */
  readonly node: string;
  readonly shards: Pick<HeldShards, 'actingShard'>;
  readonly leases: Pick<LeaseManager, 'claim'>;
  readonly peers: Pick<PeerView, 'recentHeartbeat'>;
  readonly peerNetwork: Pick<PeerNetwork, 'request'>;
  readonly relay: Pick<KeyValueStoreRelay, 'relayOrders'>;
  /** Returns the leader's reservations, which relayed orders include. */
  readonly reservations: () => readonly Reservation[];
}

/** Orders and carries out transfers of machines. */
export class Transfers {
  constructor(private readonly dependencies: TransfersDependencies) {}

  /**
   * Orders the holder of a shard to carry out the leader's transfers from that shard. If this process may act
   * for the shard, this process carries out the transfers itself. The order is relayed through the key-value
   * store if no recent heartbeat of the holder was received.
   */
  order(from: number, transfers: readonly MachineTransfer[], permit: Permit): Effect.Effect<unknown> {
    const { node, leases, peers, peerNetwork, relay } = this.dependencies;
    const shard = this.dependencies.shards.actingShard(from);
    if (shard) return Effect.promise(() => shard.transferMachines(transfers));
    const holder = leases.claim(String(from))?.node;
    if (holder === undefined || holder === node) return Effect.void;
    if (peers.recentHeartbeat(holder) === null)
      return relay.relayOrders(from, transfers, this.dependencies.reservations());
    if (!permit.mayProceed()) return Effect.void;
    const order = writeTransferOrder({ from, transfers }, permit.token);
    return Effect.promise(() => peerNetwork.request(holder, PEER_PATHS.transfer, order));
  }

  /**
   * Carries out transfers from a shard held here; false: no machine was transferred, or this process may not
   * act for the shard.
   */
  async carryOut(from: number, transfers: readonly MachineTransfer[]): Promise<boolean> {
    return (await this.dependencies.shards.actingShard(from)?.transferMachines(transfers)) ?? false;
  }
}
