/**
 * Shortens what the relay stores to the size that the key-value store takes. No state, no decisions about the
 * content: what comes first matters most and stays. The relay calls it with each write.
 */
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { MAX_RELAYED_GANGS_PER_DEMAND, MIN_RELAYED_RESERVATIONS } from '../constants/peers.js';
import type { ShardSummary, UnmetDemand } from '../fleet/shard-summary.js';
import type { RelayedOrders } from './orders.js';
import { writeRelayedOrders } from './relay-codec.js';
import { writeSummary } from './summary-codec.js';

/** Measures the value as it is stored. */
const isTooLong = (stored: unknown, valueBytes: number): boolean =>
  Buffer.byteLength(JSON.stringify(stored)) > valueBytes * VALUE_FILL_FRACTION;

const firstHalf = <Entry>(list: readonly Entry[]): readonly Entry[] =>
  list.slice(0, Math.floor(list.length / 2));

const halveOrders = (orders: RelayedOrders): RelayedOrders => ({
  ...orders,
  transfers: firstHalf(orders.transfers),
  reservations:
    orders.reservations.length > MIN_RELAYED_RESERVATIONS
      ? firstHalf(orders.reservations)
      : orders.reservations,
});

/** Orders whose stored form has at most `valueBytes`; what doesn't fit comes with the next orders. */
export const shortenOrders = (orders: RelayedOrders, valueBytes: number): RelayedOrders => {
  const tooLong = (candidate: RelayedOrders): boolean => isTooLong(writeRelayedOrders(candidate), valueBytes);
  let short = orders;
  while (tooLong(short) && short.transfers.length + short.reservations.length > 0) {
    short = halveOrders(short);
    if (short.transfers.length === 0 && tooLong(short))
      short = { ...short, reservations: short.reservations.slice(0, -1) };
  }
  return short;
};

const limitGangs = (demand: UnmetDemand): UnmetDemand => ({
  ...demand,
  gangs: demand.gangs.slice(0, MAX_RELAYED_GANGS_PER_DEMAND),
});

const halveSummary = (summary: ShardSummary): ShardSummary => ({
  ...summary,
  // The most important class of demand stays.
  needs: summary.needs.slice(0, Math.ceil(summary.needs.length / 2)).map(limitGangs),
  spares: firstHalf(summary.spares),
});

/** A summary whose stored form has at most `valueBytes`; one class of demand with few gangs has to fit. */
export const shortenSummary = (summary: ShardSummary, valueBytes: number): ShardSummary => {
  let short = summary;
  while (isTooLong(writeSummary(short), valueBytes) && short.needs.length + short.spares.length > 0)
    short = halveSummary(short);
  return short;
};
