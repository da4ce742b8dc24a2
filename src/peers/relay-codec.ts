/**
 * Reads and writes what the relay stores in the key-value store; the names of the fields and their order are
 * fixed. No state.
 */
import type { ShardSummary } from '../fleet/shard-summary.js';
import { readTransfer, writeTransfer, type WireTransfer } from './order-codec.js';
import type { RelayedOrders } from './orders.js';
import { readReservation, writeReservation, type WireReservation } from './reservation-codec.js';
import { readSummary, type WireSummary } from './summary-codec.js';
import { isMap, readEntries } from './wire-values.js';

/** Orders for the holder of a shard, as they are stored. */
export interface StoredOrders {
  readonly leader: number;
  readonly moves: readonly WireTransfer[];
  readonly holds: readonly WireReservation[];
}

/** Writes orders as they are stored. */
export const writeRelayedOrders = (orders: RelayedOrders): StoredOrders => ({
  leader: orders.leaderClaim,
  moves: orders.transfers.map(writeTransfer),
  holds: orders.reservations.map(writeReservation),
});

/** Reads stored orders; null: malformed. */
export const readRelayedOrders = (value: unknown): RelayedOrders | null => {
  if (!isMap(value)) return null;
  const stored = value as StoredOrders;
  return {
    leaderClaim: stored.leader,
    transfers: readEntries(stored.moves, readTransfer),
    reservations: readEntries(stored.holds, readReservation),
  };
};

/** Reads a stored summary; null: malformed. */
export const readRelayedSummary = (value: unknown): ShardSummary | null =>
  isMap(value) ? readSummary(value as WireSummary) : null;
