/**
 * The stored form of a shard's tombstones. Controllers of earlier and later versions read it too, so its
 * short field names and the numbers of the reasons must not change.
 */
import { firstThatFit, lastThatFit } from './stored-size.js';
import { parseToken } from './token.js';
import {
  EMPTY_TOMBSTONE_RECORD,
  type CollectedKey,
  type OrphanReason,
  type Tombstone,
  type TombstoneRecord,
} from './tombstones.js';

/** A reason is stored as its index in this list. */
const REASONS: readonly OrphanReason[] = ['job over', 'belongs to no job', 'part not named'];

interface StoredTombstone {
  /** Key. */
  readonly k: string;
  /** Revision of the key when it was marked. */
  readonly v: number;
  /** Reason, as an index of `REASONS`. */
  readonly r: number;
  /** Fencing token under which the key was marked. */
  readonly t: number;
  /** When the key was marked, in ms since the epoch. */
  readonly a: number;
}

interface StoredCollectedKey {
  /** Key. */
  readonly k: string;
  /** Reason, as an index of `REASONS`. */
  readonly r: number;
  /** Fencing token under which the key was marked. */
  readonly t: number;
  /** Fencing token under which the key was removed. */
  readonly u: number;
  /** When the key was removed, in ms since the epoch. */
  readonly a: number;
}

/** The record as it is stored. */
export interface StoredTombstoneRecord {
  /** Tombstones. */
  readonly m: readonly StoredTombstone[];
  /** Keys that were removed. */
  readonly d: readonly StoredCollectedKey[];
}

const isInteger = (value: unknown): value is number => Number.isSafeInteger(value);

/** Returns no entry if it is malformed. */
const readTombstone = (raw: unknown): Tombstone[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { k, v, r, t, a } = raw as Partial<StoredTombstone>;
  const token = parseToken(t, 't');
  const reason = REASONS[r ?? -1];
  if (typeof k !== 'string' || !isInteger(v) || reason === undefined) return [];
  if (token._tag === 'invalid' || typeof a !== 'number') return [];
  return [{ key: k, revision: v, reason, token: token.token, at: a }];
};

/** Returns no entry if it is malformed. */
const readCollectedKey = (raw: unknown): CollectedKey[] => {
  if (typeof raw !== 'object' || raw === null) return [];
  const { k, r, t, u, a } = raw as Partial<StoredCollectedKey>;
  const markedUnder = parseToken(t, 't');
  const removedUnder = parseToken(u, 'u');
  const reason = REASONS[r ?? -1];
  if (typeof k !== 'string' || reason === undefined || typeof a !== 'number') return [];
  if (markedUnder._tag === 'invalid' || removedUnder._tag === 'invalid') return [];
  return [{ key: k, reason, markedUnder: markedUnder.token, removedUnder: removedUnder.token, at: a }];
};

/** Reads a stored record; malformed entries are omitted, so the keys that they name are not removed. */
export const readTombstoneRecord = (value: unknown): TombstoneRecord => {
  if (typeof value !== 'object' || value === null) return EMPTY_TOMBSTONE_RECORD;
  const { m, d } = value as { m?: unknown; d?: unknown };
  return {
    marked: Array.isArray(m) ? (m as unknown[]).flatMap(readTombstone) : [],
    removed: Array.isArray(d) ? (d as unknown[]).flatMap(readCollectedKey) : [],
  };
};

const writeTombstone = (tombstone: Tombstone): StoredTombstone => ({
  k: tombstone.key,
  v: tombstone.revision,
  r: REASONS.indexOf(tombstone.reason),
  t: tombstone.token,
  a: tombstone.at,
});

const writeCollectedKey = (collected: CollectedKey): StoredCollectedKey => ({
  k: collected.key,
  r: REASONS.indexOf(collected.reason),
  t: collected.markedUnder,
  u: collected.removedUnder,
  a: collected.at,
});

const encode = ({ marked, removed }: TombstoneRecord): StoredTombstoneRecord => ({
  m: marked.map(writeTombstone),
  d: removed.map(writeCollectedKey),
});

/** Writes a record with as many of the latest removals as fit in `maxBytes`. */
export const writeTombstoneRecord = (record: TombstoneRecord, maxBytes: number): StoredTombstoneRecord => {
  const { marked } = record;
  const removed = lastThatFit(record.removed, maxBytes, (last) => encode({ marked, removed: last }));
  return encode({ marked, removed });
};

/**
 * Returns as many of the first tombstones as fit in `maxBytes` together with the tombstones of the record.
 * The removals of the record are not counted, since they may be dropped.
 */
export const tombstonesThatFit = (
  record: TombstoneRecord,
  tombstones: readonly Tombstone[],
  maxBytes: number,
): readonly Tombstone[] =>
  firstThatFit(tombstones, maxBytes, (first) =>
    encode({ marked: [...record.marked, ...first], removed: [] }),
  );
