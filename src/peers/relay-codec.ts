import type { ShardSummary } from '../fleet/records.js';
import { readMove, writeMove, type WireMove } from './order-codec.js';
import type { RelayedOrders } from './orders.js';
import { readReservation, writeReservation, type WireReservation } from './reservation-codec.js';
import { readSummary, type WireSummary } from './summary-codec.js';
import { isMap, readEntries } from './wire-values.js';

/** What the relay stores in the state service; the names of the fields and their order are fixed. */

/** Orders for the holder of a share, as they are stored. */
export interface StoredOrders {
  readonly leader: number;
  readonly moves: readonly WireMove[];
  readonly holds: readonly WireReservation[];
}

/** Writes orders as they are stored. */
export const writeRelayedOrders = (orders: RelayedOrders): StoredOrders => ({
  leader: orders.leader,
  moves: orders.moves.map(writeMove),
  holds: orders.reservations.map(writeReservation),
});

/** Reads stored orders; null: malformed. */
export const readRelayedOrders = (value: unknown): RelayedOrders | null => {
  if (!isMap(value)) return null;
  const stored = value as StoredOrders;
  return {
    leader: stored.leader,
    moves: readEntries(stored.moves, readMove),
    reservations: readEntries(stored.holds, readReservation),
  };
};

/** Reads a stored summary; null: malformed. */
export const readRelayedSummary = (value: unknown): ShardSummary | null =>
  isMap(value) ? readSummary(value as WireSummary) : null;
