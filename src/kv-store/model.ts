/**
 * Types of the key-value store's interface: entries, transactions, watches and leases, with their outcomes.
 * No state; used by `src/kv-store/client.ts` and its callers.
 */

/** A condition of a transaction: the key still has this version. */
export interface Condition {
  readonly key: string;
  /** Revision of the key's last change; 0: the key does not exist. */
  readonly version: number;
}

/** A change of one key. A key that is put with a lease is deleted when the lease ends. */
export type Write =
  | { readonly _tag: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly _tag: 'delete'; readonly key: string };

/** The outcome of a transaction. */
export type TransactionResult =
  | { readonly _tag: 'committed'; readonly revision: number }
  /** Not carried out: the keys in `failed` have other versions. */
  | { readonly _tag: 'conflict'; readonly failed: readonly string[] }
  /** Not carried out: a lease that the transaction names has ended. */
  | { readonly _tag: 'noLease' }
  /** Not carried out, for another reason. */
  | { readonly _tag: 'refused'; readonly why: string }
  /** It is unknown whether the transaction was carried out; the store may also carry it out later. */
  | { readonly _tag: 'unknown'; readonly why: string };

/** A key with its value and the revision of its last change. */
export interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** The outcome of reading a key. */
export type ReadResult =
  | { readonly _tag: 'found'; readonly entry: StoredEntry }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'failed'; readonly why: string };

/** Entries in the order of their keys, as they were at a revision. */
export interface ListPage {
  readonly _tag: 'page';
  readonly entries: readonly StoredEntry[];
  /** Whether more entries follow this page. */
  readonly more: boolean;
  readonly revision: number;
}

/** The outcome of listing keys. */
export type ListResult = ListPage | { readonly _tag: 'failed'; readonly why: string };

/** A change that a watch returned. */
export type WatchEvent =
  | { readonly _tag: 'put'; readonly entry: StoredEntry }
  | { readonly _tag: 'delete'; readonly key: string; readonly version: number };

/** All changes up to a revision, in the order in which they were made. */
export interface WatchBatch {
  readonly _tag: 'events';
  readonly events: readonly WatchEvent[];
  readonly revision: number;
}

/** The outcome of one watch. */
export type WatchResult =
  | WatchBatch
  /** The store no longer has the changes since that revision: the keys must be listed again. */
  | { readonly _tag: 'tooOld' }
  | { readonly _tag: 'failed'; readonly why: string };

/** The outcome of requesting or renewing a lease. */
export type LeaseResult =
  /** The lease lasts at least for its lifetime from `sentAt` on (ms, lease clock). */
  | { readonly _tag: 'held'; readonly lease: number; readonly sentAt: number }
  /** The lease has ended. */
  | { readonly _tag: 'gone' }
  /** It is unknown whether the lease is held. */
  | { readonly _tag: 'failed'; readonly why: string };
