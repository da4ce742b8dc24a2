/**
 * What controllers order each other to do; `order-codec.ts` and `relay-codec.ts` have the forms on the wire.
 * Types only.
 */
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { Reservation } from '../fleet/reservation.js';

/** The leader's order to the holder of a shard: machines that are to go to other shards. */
export interface TransferOrder {
  /** The shard that they leave. */
  readonly from: number;
  readonly transfers: readonly MachineTransfer[];
}

/** A holder's order to the leader: machines to release to the cloud at once. */
export interface ReleaseOrder {
  readonly machines: readonly string[];
  /** The shard whose holder asks; earlier versions don't say. */
  readonly shardId?: number;
}

/** The leader's orders through the key-value store, to a holder that it can't reach. */
export interface RelayedOrders {
  /** The revision of the leader's claim. */
  readonly leaderClaim: number;
  readonly transfers: readonly MachineTransfer[];
  readonly reservations: readonly Reservation[];
}
