/**
 * Shortens the orders and summaries that the relay stores to the largest value that the key-value store
 * accepts. No state, no decisions about the content: each list begins with its most important entries, which
 * are kept. The relay calls it for each write.
 *
 * Each step omits at least one entry, or reports that no entry is left to omit: shortening ends whatever the
 * size of the value and of the entries.
 */
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { MAX_RELAYED_GANGS_PER_DEMAND, MIN_RELAYED_RESERVATIONS } from '../constants/peers.js';
import type { ShardSummary, UnmetDemand } from '../fleet/shard-summary.js';
import type { RelayedOrders } from './orders.js';
import { writeRelayedOrders, type StoredOrders } from './relay-codec.js';
import { writeSummary, type WireSummary } from './summary-codec.js';

/** The stored form of orders or a summary, shortened to fit a value. */
export type FittedValue<Stored> =
  | {
      readonly _tag: 'fits';
      readonly stored: Stored;
      /** Number of omitted entries by list; empty: none are omitted. */
      readonly omitted: Readonly<Record<string, number>>;
    }
  /** Even the stored form without any entry does not fit; `bytes` is its size. */
  | { readonly _tag: 'tooLarge'; readonly bytes: number };

const bytesOf = (stored: unknown): number => Buffer.byteLength(JSON.stringify(stored));

const maxBytes = (valueBytes: number): number => valueBytes * VALUE_FILL_FRACTION;

/**
 * Omits entries from the content step by step until its stored form fits; if it never fits, returns the
 * smallest content.
 *
 * @param smaller - Returns the content without some of its entries; null: no entry is left to omit.
 */
const shortenUntilFits = <Content>(
  content: Content,
  write: (content: Content) => unknown,
  smaller: (content: Content) => Content | null,
  valueBytes: number,
): Content => {
  let shortened = content;
  while (bytesOf(write(shortened)) > maxBytes(valueBytes)) {
    const next = smaller(shortened);
    if (next === null) break;
    shortened = next;
  }
  return shortened;
};

/** Counts the omitted entries of each list, for lists with any. */
const countOmitted = (
  before: Readonly<Record<string, number>>,
  after: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(before)
      .map(([list, count]) => [list, count - (after[list] ?? 0)] as const)
      .filter(([, omitted]) => omitted > 0),
  );

const toFittedValue = <Stored>(
  stored: Stored,
  omitted: Readonly<Record<string, number>>,
  valueBytes: number,
): FittedValue<Stored> => {
  const bytes = bytesOf(stored);
  return bytes > maxBytes(valueBytes) ? { _tag: 'tooLarge', bytes } : { _tag: 'fits', stored, omitted };
};

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

/**
 * Orders with fewer entries; null: no entry is left. Up to `MIN_RELAYED_RESERVATIONS` reservations are kept
 * whole until no transfer is left.
 */
const smallerOrders = (orders: RelayedOrders): RelayedOrders | null => {
  const { transfers, reservations } = orders;
  if (transfers.length > 0 || reservations.length > MIN_RELAYED_RESERVATIONS) return halveOrders(orders);
  return reservations.length > 0 ? { ...orders, reservations: reservations.slice(0, -1) } : null;
};

/**
 * Shortens orders until their stored form fits a value of `valueBytes`, or until no order is left. Omitted
 * entries are sent with the next orders.
 */
export const shortenOrders = (orders: RelayedOrders, valueBytes: number): RelayedOrders =>
  shortenUntilFits(orders, writeRelayedOrders, smallerOrders, valueBytes);

const countOrders = ({ transfers, reservations }: RelayedOrders): Readonly<Record<string, number>> => ({
  transfers: transfers.length,
  reservations: reservations.length,
});

/** Returns the stored form of orders, shortened to fit a value of `valueBytes`. */
export const fitOrders = (orders: RelayedOrders, valueBytes: number): FittedValue<StoredOrders> => {
  const shortened = shortenOrders(orders, valueBytes);
  const omitted = countOmitted(countOrders(orders), countOrders(shortened));
  return toFittedValue(writeRelayedOrders(shortened), omitted, valueBytes);
};

const limitGangs = (demand: UnmetDemand): UnmetDemand => ({
  ...demand,
  gangs: demand.gangs.slice(0, MAX_RELAYED_GANGS_PER_DEMAND),
});

const halveSummary = (summary: ShardSummary): ShardSummary => ({
  ...summary,
  // Rounds up, so that the most important class of demand is kept.
  needs: summary.needs.slice(0, Math.ceil(summary.needs.length / 2)).map(limitGangs),
  spares: firstHalf(summary.spares),
});

/**
 * Whether `halveSummary` would omit something: the summary has more than one class of demand, a named spare
 * machine, or a class with more than `MAX_RELAYED_GANGS_PER_DEMAND` gangs.
 */
const isHalvable = ({ needs, spares }: ShardSummary): boolean =>
  needs.length > 1 ||
  spares.length > 0 ||
  needs.some(({ gangs }) => gangs.length > MAX_RELAYED_GANGS_PER_DEMAND);

/**
 * A summary with fewer entries; null: no entry is left. The most important class of demand is omitted last:
 * after its gangs, since its number of tasks is still useful without them.
 */
const smallerSummary = (summary: ShardSummary): ShardSummary | null => {
  const { needs, unlisted } = summary;
  if (isHalvable(summary)) return halveSummary(summary);
  if (unlisted !== undefined && unlisted.length > 0) return { ...summary, unlisted: firstHalf(unlisted) };
  const [demand] = needs;
  if (demand === undefined) return null;
  if (demand.gangs.length === 0) return { ...summary, needs: [] };
  return { ...summary, needs: [{ ...demand, gangs: firstHalf(demand.gangs) }] };
};

/** Shortens a summary until its stored form fits a value of `valueBytes`, or until no entry is left. */
export const shortenSummary = (summary: ShardSummary, valueBytes: number): ShardSummary =>
  shortenUntilFits(summary, writeSummary, smallerSummary, valueBytes);

const countSummary = ({ needs, spares, unlisted }: ShardSummary): Readonly<Record<string, number>> => ({
  needs: needs.length,
  gangs: needs.reduce((count, { gangs }) => count + gangs.length, 0),
  spares: spares.length,
  unlisted: unlisted?.length ?? 0,
});

/** Returns the stored form of a summary, shortened to fit a value of `valueBytes`. */
export const fitSummary = (summary: ShardSummary, valueBytes: number): FittedValue<WireSummary> => {
  const shortened = shortenSummary(summary, valueBytes);
  const omitted = countOmitted(countSummary(summary), countSummary(shortened));
  return toFittedValue(writeSummary(shortened), omitted, valueBytes);
};
