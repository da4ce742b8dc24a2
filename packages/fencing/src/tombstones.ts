/**
 * Garbage collection of orphaned keys in two steps. A key first gets a durable tombstone with its revision,
 * the reason, and the fencing token of the process that marks it; a later pass checks again whether the key
 * is still orphaned, and removes it only if it still has that revision. The record keeps the latest removals
 * with their reasons and tokens.
 *
 * Pure; `GarbageCollector` holds the record of one shard, and `tombstone-record-codec.ts` defines its stored
 * form.
 */
import type { FencingToken } from './token.js';

/**
 * ms: minimum time between the mark and the removal. Longer than a change of holder takes, so that a
 * successor checks again too.
 */
export const COLLECTION_DELAY_MS = 10_000;
/** Maximum number of removals in the record. */
const MAX_COLLECTED = 32;

/** Why a key is orphaned; these texts are logged. */
export type OrphanReason =
  /** The job that the key belongs to is over. */
  | 'job over'
  /** The key was found at a takeover and belongs to no job. */
  | 'belongs to no job'
  /** The key is part of a record that no longer names it. */
  | 'part not named';

/** A key marked for removal. */
export interface Tombstone {
  readonly key: string;
  /** The revision of the key when it was marked. */
  readonly revision: number;
  readonly reason: OrphanReason;
  readonly token: FencingToken;
  /** When the key was marked, in ms since the epoch. */
  readonly at: number;
}

/** A key that was removed. */
export interface CollectedKey {
  readonly key: string;
  readonly reason: OrphanReason;
  readonly markedUnder: FencingToken;
  readonly removedUnder: FencingToken;
  /** When the key was removed, in ms since the epoch. */
  readonly at: number;
}

/** The tombstone record of one shard in the key-value store. */
export interface TombstoneRecord {
  readonly marked: readonly Tombstone[];
  /** Oldest first. */
  readonly removed: readonly CollectedKey[];
}

/** A record without entries. */
export const EMPTY_TOMBSTONE_RECORD: TombstoneRecord = { marked: [], removed: [] };

/** Returns the record with these tombstones added; a key that already has a tombstone keeps it. */
export const withTombstones = (
  record: TombstoneRecord,
  tombstones: readonly Tombstone[],
): TombstoneRecord => {
  const known = new Set(record.marked.map(({ key }) => key));
  return { ...record, marked: [...record.marked, ...tombstones.filter(({ key }) => !known.has(key))] };
};

/** Returns at most `limit` tombstones that are old enough for removal at `now` (ms since the epoch). */
export const dueTombstones = (record: TombstoneRecord, now: number, limit: number): readonly Tombstone[] =>
  record.marked.filter(({ at }) => Math.abs(now - at) >= COLLECTION_DELAY_MS).slice(0, limit);

/**
 * Returns the record without the tombstones of these keys: they changed, are in use again, or were removed.
 */
export const withoutTombstones = (record: TombstoneRecord, keys: ReadonlySet<string>): TombstoneRecord => ({
  ...record,
  marked: record.marked.filter(({ key }) => !keys.has(key)),
});

/** Returns the record after these keys were removed under a token at `now` (ms since the epoch). */
export const withCollectedKeys = (
  record: TombstoneRecord,
  collected: readonly Tombstone[],
  token: FencingToken,
  now: number,
): TombstoneRecord => {
  const remaining = withoutTombstones(record, new Set(collected.map(({ key }) => key)));
  const removed = collected.map((tombstone): CollectedKey => ({
    key: tombstone.key,
    reason: tombstone.reason,
    markedUnder: tombstone.token,
    removedUnder: token,
    at: now,
  }));
  return { ...remaining, removed: [...remaining.removed, ...removed].slice(-MAX_COLLECTED) };
};
