/**
 * Orders that controllers send each other; `order-codec.ts` and `relay-codec.ts` define their wire and stored
 * forms. Types only.
 */
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { Reservation } from '../fleet/reservation.js';

/** The leader's order to the holder of a shard to transfer machines to other shards. */
export interface TransferOrder {
  /** The shard that the machines leave. */
  readonly from: number;
  readonly transfers: readonly MachineTransfer[];
}

/** An order from the holder of a shard to the leader to release machines to the cloud at once. */
export interface ReleaseOrder {
  readonly machines: readonly string[];
  /** The shard whose holder sends the order; earlier versions omit the field. */
  readonly shardId?: number;
}

/** The leader's orders that go through the key-value store to a holder that the leader can't reach. */
export interface RelayedOrders {
  /** The revision of the leader's claim. */
  readonly leaderClaim: number;
  readonly transfers: readonly MachineTransfer[];
  readonly reservations: readonly Reservation[];
}
