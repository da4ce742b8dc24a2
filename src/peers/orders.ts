import type { MachineTransfer, Reservation } from '../fleet/records.js';

/**
 * What controllers order each other to do; `order-codec.ts` and `relay-codec.ts` have the forms on the wire.
 */

/** The leader's order to the holder of a share: machines that are to go to other shares. */
export interface TransferOrder {
  readonly from: number;
  readonly moves: readonly MachineTransfer[];
}

/** A holder's order to the leader: machines that are to go back to the cloud at once. */
export interface ReleaseOrder {
  readonly machines: readonly string[];
  /** The share whose holder asks; earlier versions don't say. */
  readonly shardId?: number;
}

/** The leader's orders through the state service, to a holder that it can't reach. */
export interface RelayedOrders {
  /** The revision of the leader's claim. */
  readonly leader: number;
  readonly moves: readonly MachineTransfer[];
  readonly reservations: readonly Reservation[];
}
