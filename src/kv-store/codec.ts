/** Wire format of the key-value store: paths, requests and responses. No state; used by `client.ts` only. */
import type {
  Condition,
  ListPage,
  StoredEntry,
  TransactionResult,
  WatchBatch,
  WatchEvent,
  Write,
} from './model.js';

interface WireEntry {
  readonly path: string;
  readonly data: unknown;
  readonly brandMark: number;
}

interface WirePage {
  readonly rows: readonly WireEntry[];
  readonly more: boolean;
  readonly epoch: number;
}

type WireChange =
  | { readonly write: string; readonly data: unknown; readonly brandMark: number }
  | { readonly remove: string; readonly brandMark: number };

interface WireChanges {
  readonly epoch: number;
  readonly news: readonly WireChange[];
}

interface WireLease {
  readonly permit: number;
}

interface WireCondition {
  readonly path: string;
  readonly brandMark: number;
}

type WireWrite =
  { readonly write: string; readonly data: unknown; readonly permit?: number } | { readonly remove: string };

interface WireTransaction {
  readonly when: readonly WireCondition[];
  readonly writes: readonly WireWrite[];
}

type WireTransactionAnswer = {
  readonly epoch?: number;
  readonly failed?: readonly string[];
  readonly error?: string;
} | null;

/** Path of transactions. */
export const TRANSACTION_PATH = '/txn';
/** Path of lease requests. */
export const LEASES_PATH = '/holds';

/** Path of one key. */
export const entryPath = (key: string): string => `/store/${key}`;

/**
 * Path of a page of the keys under a prefix, starting with the first key after `after`; null: with the first
 * key.
 */
export const listPath = (prefix: string, after: string | null, maxEntries: number): string => {
  const since = after === null ? '' : `&since=${encodeURIComponent(after)}`;
  return `/store?under=${encodeURIComponent(prefix)}&most=${maxEntries}${since}`;
};

/** Path of a watch for changes under a prefix after a revision; it ends empty after `timeoutMs`. */
export const watchPath = (prefix: string, revision: number, timeoutMs: number): string =>
  `/follow?under=${encodeURIComponent(prefix)}&since=${revision}&waitMs=${timeoutMs}`;

/** Path of renewals of a lease. */
export const renewalPath = (lease: number): string => `${LEASES_PATH}/${lease}/renew`;

/** Encodes the request for a lease with this lifetime. */
export const writeLeaseRequest = (ttlMs: number): { readonly ttlMs: number } => ({ ttlMs });

const writeCondition = ({ key, version }: Condition): WireCondition => ({ path: key, brandMark: version });

const writeChange = (write: Write): WireWrite => {
  if (write._tag === 'delete') return { remove: write.key };
  const lease = write.lease === undefined ? {} : { permit: write.lease };
  return { write: write.key, data: write.value, ...lease };
};

/** Encodes a transaction. */
export const writeTransaction = (
  conditions: readonly Condition[],
  writes: readonly Write[],
): WireTransaction => ({
  when: conditions.map(writeCondition),
  writes: writes.map(writeChange),
});

const readWireEntry = ({ path, data, brandMark }: WireEntry): StoredEntry => ({
  key: path,
  value: data,
  version: brandMark,
});

/** Decodes a key's entry. */
export const readEntry = (body: unknown): StoredEntry => readWireEntry(body as WireEntry);

/** Decodes a page of a list. */
export const readPage = (body: unknown): ListPage => {
  const { rows, more, epoch } = body as WirePage;
  return { _tag: 'page', entries: rows.map(readWireEntry), more, revision: epoch };
};

const readChange = (change: WireChange): WatchEvent =>
  'write' in change
    ? { _tag: 'put', entry: { key: change.write, value: change.data, version: change.brandMark } }
    : { _tag: 'delete', key: change.remove, version: change.brandMark };

/** Decodes the changes that a watch returned. */
export const readChanges = (body: unknown): WatchBatch => {
  const { epoch, news } = body as WireChanges;
  return { _tag: 'events', events: news.map(readChange), revision: epoch };
};

/** Decodes the id of a lease. */
export const readLease = (body: unknown): number => (body as WireLease).permit;

/** Decodes the outcome of a transaction. */
export const readTransactionResult = (status: number, body: unknown): TransactionResult => {
  const answer = body as WireTransactionAnswer;
  switch (status) {
    case 200:
      return { _tag: 'committed', revision: answer?.epoch ?? 0 };
    case 409:
      return { _tag: 'conflict', failed: answer?.failed ?? [] };
    case 400:
      return answer?.error === 'no such lease'
        ? { _tag: 'noLease' }
        : { _tag: 'refused', why: `400 ${answer?.error ?? ''}` };
    case 429:
    case 503:
      return { _tag: 'refused', why: `status ${status}` };
    default:
      return { _tag: 'unknown', why: `status ${status}` };
  }
};
