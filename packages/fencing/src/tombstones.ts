/**
 * Removal of left-over state in two steps. A key is first marked, durably, with its revision, the reason and
 * the token of whoever marks it; a later pass looks again whether it is still left over, and removes it only
 * at that very revision. What was removed, by whom and why stays readable for a while.
 */
import { newestThatFit, storedBytes } from './stored-size.js';
import { parseToken, type FencingToken } from './token.js';

/**
 * ms between the mark and the removal: longer than a change of holder, so that a successor looks again too.
 */
export const COLLECTION_DELAY_MS = 10_000;
/** Removals that stay readable. */
const KEPT_REMOVALS = 32;

/** Why a key is left over. */
export type OrphanReason =
  /** The job that it belongs to is over. */
  | 'job over'
  /** It was found at a takeover and belongs to no job. */
  | 'belongs to no job'
  /** Part of a record that no longer names it. */
  | 'part not named';

/** A key marked for removal. */
export interface Tombstone {
  readonly key: string;
  readonly revision: number;
  readonly reason: OrphanReason;
  readonly token: FencingToken;
  /** ms since the epoch. */
  readonly at: number;
}

/** A key that was removed. */
export interface CollectedKey {
  readonly key: string;
  readonly reason: OrphanReason;
  readonly markedUnder: FencingToken;
  readonly removedUnder: FencingToken;
  readonly at: number;
}

/** What the state service holds for one share. */
export interface TombstoneRecord {
  readonly marked: readonly Tombstone[];
  readonly removed: readonly CollectedKey[];
}

/** A book without entries. */
export const EMPTY_TOMBSTONE_RECORD: TombstoneRecord = { marked: [], removed: [] };

/** Marks keys; one that is marked already stays as it is. */
export const withTombstones = (book: TombstoneRecord, keys: readonly Tombstone[]): TombstoneRecord => {
  const known = new Set(book.marked.map((marked) => marked.key));
  return { ...book, marked: [...book.marked, ...keys.filter(({ key }) => !known.has(key))] };
};

/** Marked keys that are due for the second look. */
export const dueTombstones = (book: TombstoneRecord, now: number, most: number): readonly Tombstone[] =>
  book.marked.filter((marked) => Math.abs(now - marked.at) >= COLLECTION_DELAY_MS).slice(0, most);

/** Takes keys out of the marked ones without removing them: they changed, or belong to something again. */
export const withoutTombstones = (book: TombstoneRecord, keys: ReadonlySet<string>): TombstoneRecord => ({
  ...book,
  marked: book.marked.filter(({ key }) => !keys.has(key)),
});

/** Notes that keys were removed. */
export const withCollected = (
  book: TombstoneRecord,
  keys: readonly Tombstone[],
  token: FencingToken,
  now: number,
): TombstoneRecord => {
  const rest = withoutTombstones(book, new Set(keys.map(({ key }) => key)));
  const removed = keys.map((marked): CollectedKey => ({
    key: marked.key,
    reason: marked.reason,
    markedUnder: marked.token,
    removedUnder: token,
    at: now,
  }));
  return { ...rest, removed: [...rest.removed, ...removed].slice(-KEPT_REMOVALS) };
};

const REASONS: readonly OrphanReason[] = ['job over', 'belongs to no job', 'part not named'];

interface StoredMarked {
  k: string;
  v: number;
  r: number;
  t: number;
  a: number;
}
interface StoredRemoved {
  k: string;
  r: number;
  t: number;
  u: number;
  a: number;
}

const readMarked = (raw: unknown): Tombstone[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { k, v, r, t, a } = raw as Partial<StoredMarked>;
  const token = parseToken(t, 't');
  const reason = REASONS[r ?? -1];
  if (typeof k !== 'string' || !Number.isSafeInteger(v) || reason === undefined) return [];
  if (token._tag === 'invalid' || typeof a !== 'number') return [];
  return [{ key: k, revision: v as number, reason, token: token.token, at: a }];
};

const readRemoved = (raw: unknown): CollectedKey[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { k, r, t, u, a } = raw as Partial<StoredRemoved>;
  const markedUnder = parseToken(t, 't');
  const removedUnder = parseToken(u, 'u');
  const reason = REASONS[r ?? -1];
  if (typeof k !== 'string' || reason === undefined || typeof a !== 'number') return [];
  if (markedUnder._tag === 'invalid' || removedUnder._tag === 'invalid') return [];
  return [{ key: k, reason, markedUnder: markedUnder.token, removedUnder: removedUnder.token, at: a }];
};

/** Reads a stored book; malformed entries are left out, so what they name stays where it is. */
export const readTombstoneRecord = (value: unknown): TombstoneRecord => {
  if (typeof value !== 'object' || value === null) return EMPTY_TOMBSTONE_RECORD;
  const { m, d } = value as { m?: unknown; d?: unknown };
  return {
    marked: Array.isArray(m) ? (m as unknown[]).flatMap(readMarked) : [],
    removed: Array.isArray(d) ? (d as unknown[]).flatMap(readRemoved) : [],
  };
};

const encodeTombstoneRecord = (marked: readonly Tombstone[], removed: readonly CollectedKey[]): unknown => ({
  m: marked.map(({ key, revision, reason, token, at }): StoredMarked => ({
    k: key,
    v: revision,
    r: REASONS.indexOf(reason),
    t: token,
    a: at,
  })),
  d: removed.map(({ key, reason, markedUnder, removedUnder, at }): StoredRemoved => ({
    k: key,
    r: REASONS.indexOf(reason),
    t: markedUnder,
    u: removedUnder,
    a: at,
  })),
});

/** Writes a book as it is stored, with as many past removals as it has room for. */
export const writeTombstoneRecord = (book: TombstoneRecord, maxBytes: number): unknown => {
  const store = (removed: readonly CollectedKey[]): unknown => encodeTombstoneRecord(book.marked, removed);
  return store(newestThatFit(book.removed, maxBytes, store));
};

/** How many of these keys there is room to mark. */
export const tombstonesThatFit = (
  book: TombstoneRecord,
  keys: readonly Tombstone[],
  maxBytes: number,
): readonly Tombstone[] => {
  let fit = keys;
  while (fit.length > 0 && storedBytes(encodeTombstoneRecord([...book.marked, ...fit], [])) > maxBytes)
    fit = fit.slice(0, -1);
  return fit;
};
