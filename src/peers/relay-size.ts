/**
 * Shortens what the relay stores to the size that the key-value store takes. No state, no decisions about the
 * content: what comes first matters most and stays. The relay calls it with each write.
 *
 * Each step leaves out at least one entry, or says that there is none left to leave out: shortening ends
 * whatever the size of the value and of the entries.
 */
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { MAX_RELAYED_GANGS_PER_DEMAND, MIN_RELAYED_RESERVATIONS } from '../constants/peers.js';
import type { ShardSummary, UnmetDemand } from '../fleet/shard-summary.js';
import type { RelayedOrders } from './orders.js';
import { writeRelayedOrders, type StoredOrders } from './relay-codec.js';
import { writeSummary, type WireSummary } from './summary-codec.js';

/** What is to be stored, as far as it fits. */
export type FittedValue<Stored> =
  | {
      readonly _tag: 'fits';
      readonly stored: Stored;
      /** Entries that are left out, by list; empty: none. */
      readonly omitted: Readonly<Record<string, number>>;
    }
  /** Not even the value without any entry fits. */
  | { readonly _tag: 'tooLarge'; readonly bytes: number };

const bytesOf = (stored: unknown): number => Buffer.byteLength(JSON.stringify(stored));

const maxBytes = (valueBytes: number): number => valueBytes * VALUE_FILL_FRACTION;

/**
 * The first of ever smaller contents whose stored form fits; if none does, the smallest.
 *
 * @param smaller - The content without some of its entries; null: it has none left to leave out.
 */
const shortenUntilFits = <Content>(
  content: Content,
  write: (content: Content) => unknown,
  smaller: (content: Content) => Content | null,
  valueBytes: number,
): Content => {
  let short = content;
  while (bytesOf(write(short)) > maxBytes(valueBytes)) {
    const next = smaller(short);
    if (next === null) break;
    short = next;
  }
  return short;
};

/** How many entries each list lost. */
const countOmitted = (
  before: Readonly<Record<string, number>>,
  after: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.fromEntries(
    Object.entries(before)
      .map(([list, count]) => [list, count - (after[list] ?? 0)] as const)
      .filter(([, lost]) => lost > 0),
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

/** Few reservations stay until no transfer is left. */
const smallerOrders = (orders: RelayedOrders): RelayedOrders | null => {
  const { transfers, reservations } = orders;
  if (transfers.length > 0 || reservations.length > MIN_RELAYED_RESERVATIONS) return halveOrders(orders);
  return reservations.length > 0 ? { ...orders, reservations: reservations.slice(0, -1) } : null;
};

/**
 * Orders whose stored form fits a value of `valueBytes`, or none of them; what is left out comes with the
 * next orders.
 */
export const shortenOrders = (orders: RelayedOrders, valueBytes: number): RelayedOrders =>
  shortenUntilFits(orders, writeRelayedOrders, smallerOrders, valueBytes);

const countOrders = ({ transfers, reservations }: RelayedOrders): Readonly<Record<string, number>> => ({
  transfers: transfers.length,
  reservations: reservations.length,
});

/** Orders as they are to be stored. */
export const fitOrders = (orders: RelayedOrders, valueBytes: number): FittedValue<StoredOrders> => {
  const short = shortenOrders(orders, valueBytes);
  const omitted = countOmitted(countOrders(orders), countOrders(short));
  return toFittedValue(writeRelayedOrders(short), omitted, valueBytes);
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

/** Is there more than one class of demand with few gangs, and the counts of spares that are not named? */
const isHalvable = ({ needs, spares }: ShardSummary): boolean =>
  needs.length > 1 ||
  spares.length > 0 ||
  needs.some(({ gangs }) => gangs.length > MAX_RELAYED_GANGS_PER_DEMAND);

/** The most important class of demand stays longest; it counts with its tasks when no gang is named. */
const smallerSummary = (summary: ShardSummary): ShardSummary | null => {
  const { needs, unlisted } = summary;
  if (isHalvable(summary)) return halveSummary(summary);
  if (unlisted !== undefined && unlisted.length > 0) return { ...summary, unlisted: firstHalf(unlisted) };
  const [demand] = needs;
  if (demand === undefined) return null;
  if (demand.gangs.length === 0) return { ...summary, needs: [] };
  return { ...summary, needs: [{ ...demand, gangs: firstHalf(demand.gangs) }] };
};

/** A summary whose stored form fits a value of `valueBytes`, or one without any entry. */
export const shortenSummary = (summary: ShardSummary, valueBytes: number): ShardSummary =>
  shortenUntilFits(summary, writeSummary, smallerSummary, valueBytes);

const countSummary = ({ needs, spares, unlisted }: ShardSummary): Readonly<Record<string, number>> => ({
  needs: needs.length,
  gangs: needs.reduce((count, { gangs }) => count + gangs.length, 0),
  spares: spares.length,
  unlisted: unlisted?.length ?? 0,
});

/** A summary as it is to be stored. */
export const fitSummary = (summary: ShardSummary, valueBytes: number): FittedValue<WireSummary> => {
  const short = shortenSummary(summary, valueBytes);
  const omitted = countOmitted(countSummary(summary), countSummary(short));
  return toFittedValue(writeSummary(short), omitted, valueBytes);
};
