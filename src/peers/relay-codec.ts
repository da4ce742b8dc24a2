/**
 * Converts the orders and summaries that the relay writes to the key-value store from and to their stored
 * form; the names of the fields and their order are fixed. No state.
 */
import type { ShardSummary } from '../fleet/shard-summary.js';
import { readTransfer, writeTransfer, type WireTransfer } from './order-codec.js';
import type { RelayedOrders } from './orders.js';
import { readReservation, writeReservation, type WireReservation } from './reservation-codec.js';
import { readSummary, type WireSummary } from './summary-codec.js';
import { isMap, readEntries } from './wire-values.js';

/** The stored form of orders for the holder of a shard. */
export interface StoredOrders {
  readonly leader: number;
  readonly moves: readonly WireTransfer[];
  readonly holds: readonly WireReservation[];
}

/** Converts orders to their stored form. */
export const writeRelayedOrders = (orders: RelayedOrders): StoredOrders => ({
  leader: orders.leaderClaim,
  moves: orders.transfers.map(writeTransfer),
  holds: orders.reservations.map(writeReservation),
});

/** Converts orders from their stored form; null: the value is malformed. */
export const readRelayedOrders = (value: unknown): RelayedOrders | null => {
  if (!isMap(value)) return null;
  const stored = value as StoredOrders;
  return {
    leaderClaim: stored.leader,
    transfers: readEntries(stored.moves, readTransfer),
    reservations: readEntries(stored.holds, readReservation),
  };
};

/** Converts a summary from its stored form; null: the value is malformed. */
export const readRelayedSummary = (value: unknown): ShardSummary | null =>
  isMap(value) ? readSummary(value as WireSummary) : null;
