/**
 * Removal of left-over state in two steps. A key is first marked, durably, with its revision, the reason and the token of
 * whoever marks it; a later pass looks again whether it is still left over, and removes it only at that very revision. What
 * was removed, by whom and why stays readable for a while.
 */
import { newestThatFit, storedBytes } from './stored-size.js';
import { parseToken, type FencingToken } from './token.js';

/** ms between the mark and the removal: longer than a change of holder, so that a successor looks again too. */
export const REMOVAL_DELAY_MS = 10_000;
/** Removals that stay readable. */
const KEPT_REMOVALS = 32;

/** Why a key is left over. */
export type RemovalReason =
  /** The job that it belongs to is over. */
  | 'job over'
  /** It was found at a takeover and belongs to no job. */
  | 'belongs to no job'
  /** Part of a record that no longer names it. */
  | 'part not named';

/** A key marked for removal. */
export interface MarkedKey {
  readonly key: string;
  readonly revision: number;
  readonly reason: RemovalReason;
  readonly token: FencingToken;
  /** ms since the epoch. */
  readonly at: number;
}

/** A key that was removed. */
export interface RemovedKey {
  readonly key: string;
  readonly reason: RemovalReason;
  readonly markedUnder: FencingToken;
  readonly removedUnder: FencingToken;
  readonly at: number;
}

/** What the state service holds for one share. */
export interface RemovalBook {
  readonly marked: readonly MarkedKey[];
  readonly removed: readonly RemovedKey[];
}

/** A book without entries. */
export const EMPTY_REMOVALS: RemovalBook = { marked: [], removed: [] };

/** Marks keys; one that is marked already stays as it is. */
export const withMarked = (book: RemovalBook, keys: readonly MarkedKey[]): RemovalBook => {
  const known = new Set(book.marked.map((marked) => marked.key));
  return { ...book, marked: [...book.marked, ...keys.filter(({ key }) => !known.has(key))] };
};

/** Marked keys that are due for the second look. */
export const dueForRemoval = (book: RemovalBook, now: number, most: number): readonly MarkedKey[] =>
  book.marked.filter((marked) => Math.abs(now - marked.at) >= REMOVAL_DELAY_MS).slice(0, most);

/** Takes keys out of the marked ones without removing them: they changed, or belong to something again. */
export const withUnmarked = (book: RemovalBook, keys: ReadonlySet<string>): RemovalBook => ({
  ...book,
  marked: book.marked.filter(({ key }) => !keys.has(key)),
});

/** Notes that keys were removed. */
export const withRemoved = (
  book: RemovalBook,
  keys: readonly MarkedKey[],
  token: FencingToken,
  now: number,
): RemovalBook => {
  const rest = withUnmarked(book, new Set(keys.map(({ key }) => key)));
  const removed = keys.map((marked): RemovedKey => ({
    key: marked.key,
    reason: marked.reason,
    markedUnder: marked.token,
    removedUnder: token,
    at: now,
  }));
  return { ...rest, removed: [...rest.removed, ...removed].slice(-KEPT_REMOVALS) };
};

const REASONS: readonly RemovalReason[] = ['job over', 'belongs to no job', 'part not named'];

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

const readMarked = (raw: unknown): MarkedKey[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { k, v, r, t, a } = raw as Partial<StoredMarked>;
  const token = parseToken(t, 't');
  const reason = REASONS[r ?? -1];
  if (typeof k !== 'string' || !Number.isSafeInteger(v) || reason === undefined) return [];
  if (token._tag === 'invalid' || typeof a !== 'number') return [];
  return [{ key: k, revision: v as number, reason, token: token.token, at: a }];
};

const readRemoved = (raw: unknown): RemovedKey[] => {
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
export const readRemovals = (value: unknown): RemovalBook => {
  if (typeof value !== 'object' || value === null) return EMPTY_REMOVALS;
  const { m, d } = value as { m?: unknown; d?: unknown };
  return {
    marked: Array.isArray(m) ? (m as unknown[]).flatMap(readMarked) : [],
    removed: Array.isArray(d) ? (d as unknown[]).flatMap(readRemoved) : [],
  };
};

const storeRemovals = (marked: readonly MarkedKey[], removed: readonly RemovedKey[]): unknown => ({
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
export const writeRemovals = (book: RemovalBook, maxBytes: number): unknown => {
  const store = (removed: readonly RemovedKey[]): unknown => storeRemovals(book.marked, removed);
  return store(newestThatFit(book.removed, maxBytes, store));
};

/** How many of these keys there is room to mark. */
export const roomToMark = (
  book: RemovalBook,
  keys: readonly MarkedKey[],
  maxBytes: number,
): readonly MarkedKey[] => {
  let fit = keys;
  while (fit.length > 0 && storedBytes(storeRemovals([...book.marked, ...fit], [])) > maxBytes)
    fit = fit.slice(0, -1);
  return fit;
};
