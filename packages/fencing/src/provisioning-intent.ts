/**
 * Durable intents of rental requests. The cloud compares no tokens, but it knows requests by name: one that
 * is repeated gets the first one's answer and rents nothing. So a request is named in the state service
 * before it is sent, and whoever holds the duty next repeats it under the same name. From then on a late copy
 * of it changes nothing.
 */
import { newestThatFit, storedBytes } from './stored-size.js';
import { parseToken, type FencingToken } from './token.js';

/**
 * ms: a request older than this answers a need of the past. It is not repeated; should it still be carried
 * out, its machines are adopted when they report or are listed. Longer than a change of holder takes, shorter
 * than a boot.
 */
export const INTENT_FRESH_MS = 30_000;
/** Outcomes that are kept for reading. */
const KEPT_OUTCOMES = 24;

/** A rental request as it is announced. */
export interface ProvisioningIntent {
  readonly name: string;
  readonly machineType: string;
  readonly zone: string;
  readonly spot: boolean;
  /** The share that each machine is meant for. */
  readonly shardIds: readonly number[];
  /** ms since the epoch. */
  readonly at: number;
}

/** How a rental request ended. */
export type ProvisioningOutcome =
  'rented' | 'no capacity' | 'refused' | 'withheld' | 'unanswered' | 'abandoned' | 'repeated by successor';

/** A request that is over. */
export interface SettledProvisioning {
  readonly name: string;
  readonly outcome: ProvisioningOutcome;
  readonly machines: number;
  readonly at: number;
}

/** What the state service holds: open requests, and the last that ended. */
export interface ProvisioningRecord {
  /** The token under which it was written last. */
  readonly token: FencingToken | null;
  readonly open: readonly ProvisioningIntent[];
  readonly settled: readonly SettledProvisioning[];
  /** Stored entries that could not be read: never acted on, kept for an operator. */
  readonly malformed: readonly unknown[];
}

/** A book without entries. */
export const EMPTY_PROVISIONING_RECORD: ProvisioningRecord = {
  token: null,
  open: [],
  settled: [],
  malformed: [],
};

/** What a new holder does with a request that an earlier one left open. */
export type Settlement =
  /**
   * Send it again under its name: either it was carried out, or it is now; a late copy then changes nothing.
   */
  | { readonly _tag: 'repeat'; readonly intent: ProvisioningIntent }
  /** Leave it: its machines, if any come, are adopted and returned when idle. */
  | { readonly _tag: 'abandon'; readonly intent: ProvisioningIntent };

/**
 * Decides about each open request. An intent from the future, by a clock that was set back, counts as fresh.
 */
export const settlementsFor = (book: ProvisioningRecord, now: number): readonly Settlement[] =>
  book.open.map((intent) => ({
    _tag: now - intent.at <= INTENT_FRESH_MS ? 'repeat' : 'abandon',
    intent,
  }));

/** Announces requests. */
export const withOpened = (
  book: ProvisioningRecord,
  intents: readonly ProvisioningIntent[],
): ProvisioningRecord => ({
  ...book,
  open: [...book.open, ...intents],
});

/** Notes the outcome of requests. */
export const withSettled = (
  book: ProvisioningRecord,
  settled: readonly SettledProvisioning[],
): ProvisioningRecord => {
  const names = new Set(settled.map((rental) => rental.name));
  return {
    ...book,
    open: book.open.filter((intent) => !names.has(intent.name)),
    settled: [...book.settled, ...settled].slice(-KEPT_OUTCOMES),
  };
};

interface StoredIntent {
  n: string;
  b: string;
  z: string;
  p: boolean;
  s: number[];
  a: number;
}
interface StoredSettled {
  n: string;
  o: ProvisioningOutcome;
  m: number;
  a: number;
}

const isText = (value: unknown): value is string => typeof value === 'string' && value !== '';
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

const readIntent = (raw: unknown): ProvisioningIntent | null => {
  if (typeof raw !== 'object' || raw === null) return null;
  const { n, b, z, p, s, a } = raw as Partial<StoredIntent>;
  if (!isText(n) || !isText(b) || !isText(z) || typeof p !== 'boolean') return null;
  if (!Array.isArray(s) || s.length === 0 || !s.every(isCount)) return null;
  if (typeof a !== 'number' || !Number.isFinite(a)) return null;
  return { name: n, machineType: b, zone: z, spot: p, shardIds: s, at: a };
};

const readSettled = (raw: unknown): SettledProvisioning[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { n, o, m, a } = raw as Partial<StoredSettled>;
  if (!isText(n) || o === undefined || !isCount(m) || typeof a !== 'number') return [];
  return [{ name: n, outcome: o, machines: m, at: a }];
};

/** Reads a stored book; what is malformed is kept aside. */
export const readProvisioningRecord = (value: unknown): ProvisioningRecord => {
  if (typeof value !== 'object' || value === null)
    return { ...EMPTY_PROVISIONING_RECORD, malformed: [value] };
  const { t, o, d, q } = value as { t?: unknown; o?: unknown; d?: unknown; q?: unknown };
  const token = parseToken(t, 't');
  if (token._tag === 'invalid' || !Array.isArray(o))
    return { ...EMPTY_PROVISIONING_RECORD, malformed: [value] };
  const open: ProvisioningIntent[] = [];
  const malformed: unknown[] = Array.isArray(q) ? [...(q as unknown[])] : [];
  for (const raw of o as unknown[]) {
    const intent = readIntent(raw);
    if (intent) open.push(intent);
    else malformed.push(raw);
  }
  const settled = Array.isArray(d) ? (d as unknown[]).flatMap(readSettled) : [];
  return { token: token.token, open, settled, malformed };
};

/** bytes: malformed entries are kept up to this size, or they might leave no room for good ones. */
const MALFORMED_MAX_BYTES = 512;

const keptMalformed = (malformed: readonly unknown[]): readonly unknown[] =>
  JSON.stringify(malformed).length <= MALFORMED_MAX_BYTES ? malformed : [];

const encodeProvisioningRecord = (
  { open, malformed }: ProvisioningRecord,
  settled: readonly SettledProvisioning[],
  token: FencingToken,
): unknown => ({
  t: token,
  o: open.map(({ name, machineType, zone, spot, shardIds, at }): StoredIntent => ({
    n: name,
    b: machineType,
    z: zone,
    p: spot,
    s: [...shardIds],
    a: at,
  })),
  d: settled.map(({ name, outcome, machines, at }): StoredSettled => ({
    n: name,
    o: outcome,
    m: machines,
    a: at,
  })),
  ...(malformed.length > 0 ? { q: malformed } : {}),
});

/**
 * Writes a book as it is stored, with as many outcomes as it has room for; null: its open requests alone are
 * too many.
 */
export const writeProvisioningRecord = (
  book: ProvisioningRecord,
  token: FencingToken,
  maxBytes: number,
): unknown => {
  const bounded = { ...book, malformed: keptMalformed(book.malformed) };
  const store = (settled: readonly SettledProvisioning[]): unknown =>
    encodeProvisioningRecord(bounded, settled, token);
  const stored = store(newestThatFit(book.settled, maxBytes, store));
  return storedBytes(stored) <= maxBytes ? stored : null;
};
