/**
 * Garbage collection of orphaned keys in two steps. A key first gets a tombstone, durably, with its
 * revision, the reason and the token of whoever marks it; a later pass checks again whether it is still
 * orphaned, and removes it only at that very revision. What was removed, by whom and why stays readable for
 * a while.
 *
 * Pure; `GarbageCollector` holds the record of one shard, the codec beside this module has its stored form.
 */
import type { FencingToken } from './token.js';

/**
 * ms between the mark and the removal: longer than a change of holder, so that a successor checks again too.
 */
export const COLLECTION_DELAY_MS = 10_000;
/** Removals that stay in the record. */
const MAX_COLLECTED = 32;

/** Why a key is orphaned; logged in these words. */
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
  /** The revision of the key when it was marked. */
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
  /** ms since the epoch. */
  readonly at: number;
}

/** What the state service holds for one shard. */
export interface TombstoneRecord {
  readonly marked: readonly Tombstone[];
  /** The oldest first. */
  readonly removed: readonly CollectedKey[];
}

/** A record without entries. */
export const EMPTY_TOMBSTONE_RECORD: TombstoneRecord = { marked: [], removed: [] };

/** The record with these tombstones; a key that has one already keeps it. */
export const withTombstones = (
  record: TombstoneRecord,
  tombstones: readonly Tombstone[],
): TombstoneRecord => {
  const known = new Set(record.marked.map(({ key }) => key));
  return { ...record, marked: [...record.marked, ...tombstones.filter(({ key }) => !known.has(key))] };
};

/** Tombstones that are old enough at `now` (ms since the epoch), `limit` at most. */
export const dueTombstones = (record: TombstoneRecord, now: number, limit: number): readonly Tombstone[] =>
  record.marked.filter(({ at }) => Math.abs(now - at) >= COLLECTION_DELAY_MS).slice(0, limit);

/** The record without the tombstones of keys that are not removed: they changed, or are in use again. */
export const withoutTombstones = (record: TombstoneRecord, keys: ReadonlySet<string>): TombstoneRecord => ({
  ...record,
  marked: record.marked.filter(({ key }) => !keys.has(key)),
});

/** The record after these keys were removed under a token at `now` (ms since the epoch). */
export const withCollectedKeys = (
  record: TombstoneRecord,
  collected: readonly Tombstone[],
  token: FencingToken,
  now: number,
): TombstoneRecord => {
  const rest = withoutTombstones(record, new Set(collected.map(({ key }) => key)));
  const removed = collected.map((tombstone): CollectedKey => ({
    key: tombstone.key,
    reason: tombstone.reason,
    markedUnder: tombstone.token,
    removedUnder: token,
    at: now,
  }));
  return { ...rest, removed: [...rest.removed, ...removed].slice(-MAX_COLLECTED) };
};
