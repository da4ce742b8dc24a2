import * as Effect from 'effect/Effect';
import {
  LEASE_REQUEST_TIMEOUT_MS,
  LEASE_SOCKETS,
  LIST_PAGE_ITEMS,
  MAX_RATE_LIMITED_RETRIES,
  MIN_TRANSACTION_CHANGES,
  RATE_LIMITED_RETRY_DELAY_MS,
  RATE_QUEUE_TIMEOUT_MS,
  RATE_RESERVE_FRACTION,
  STORE_LIST_TIMEOUT_MS,
  STORE_REQUEST_TIMEOUT_MS,
  STORE_SOCKETS,
  TRANSACTION_RATE_FRACTION,
  WATCH_REQUEST_FRACTION,
  WATCH_REQUEST_TIMEOUT_MS,
  WATCH_SOCKETS,
  WATCH_TIMEOUT_MS,
} from '../constants/key-value-store.js';
import { SHARD_LEASE_TTL_MS } from '../constants/leases.js';
import type { CallOutcome, HttpClient, HttpClientFactory, Target } from '../http.js';
import { RateLimiter, type RequestPriority } from './rate-limiter.js';

/** The one module that speaks to the state service. */
export interface Condition {
  readonly key: string;
  /** 0: the key does not exist. */
  readonly version: number;
}
/** A change of one key. */
export type Write =
  | { readonly _tag: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly _tag: 'delete'; readonly key: string };

/** The outcome of a transaction. */
export type TransactionResult =
  | { readonly _tag: 'committed'; readonly revision: number }
  | { readonly _tag: 'conflict'; readonly failed: readonly string[] }
  | { readonly _tag: 'noLease' }
  /** Not carried out. */
  | { readonly _tag: 'refused'; readonly why: string }
  /** May have been carried out, or may be later. */
  | { readonly _tag: 'unknown'; readonly why: string };

/** A key with its value and the revision of its last change. */
export interface StoredEntry {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}
/** The outcome of reading a key. */
export type ReadResult =
  | { readonly _tag: 'found'; readonly item: StoredEntry }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'failed'; readonly why: string };
/** The outcome of reading a page of keys. */
export type ListResult =
  | {
      readonly _tag: 'page';
      readonly items: readonly StoredEntry[];
      readonly more: boolean;
      readonly revision: number;
    }
  | { readonly _tag: 'failed'; readonly why: string };
/** A change that a watch showed. */
export type WatchEvent =
  | { readonly _tag: 'put'; readonly item: StoredEntry }
  | { readonly _tag: 'delete'; readonly key: string; readonly version: number };
/** The outcome of one watch. */
export type WatchResult =
  | { readonly _tag: 'events'; readonly events: readonly WatchEvent[]; readonly revision: number }
  | { readonly _tag: 'tooOld' }
  | { readonly _tag: 'failed'; readonly why: string };
/** The outcome of asking for a lease or renewing it. */
export type LeaseResult =
  | { readonly _tag: 'held'; readonly lease: number; readonly sentAt: number }
  | { readonly _tag: 'gone' }
  | { readonly _tag: 'failed'; readonly why: string };

interface RawItem {
  path: string;
  data: unknown;
  brandMark: number;
}
const item = (raw: RawItem): StoredEntry => ({ key: raw.path, value: raw.data, version: raw.brandMark });
const why = (answer: CallOutcome): string =>
  answer._tag === 'noResponse' ? answer.why : `status ${answer.status}`;

/** Client for the state service, within this node's part of its rates. */
export class KeyValueStore {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;
  private readonly leases: HttpClient;
  readonly requests: RateLimiter;
  readonly changes: RateLimiter;
  /** When the service last answered anything but 503 here. */
  lastAnsweredAt = 0;

  constructor(
    target: Target,
    limits: { rps: number; write_rps: number; txn_ops: number; nodes: number },
    private readonly now: () => number,
    createHttpClient: HttpClientFactory,
  ) {
    this.calls = createHttpClient(target, STORE_SOCKETS);
    this.watches = createHttpClient(target, WATCH_SOCKETS);
    this.leases = createHttpClient(target, LEASE_SOCKETS);
    this.requests = new RateLimiter(
      limits.rps / limits.nodes,
      RATE_RESERVE_FRACTION,
      RATE_QUEUE_TIMEOUT_MS,
      now,
    );
    this.changes = new RateLimiter(
      limits.write_rps / limits.nodes,
      RATE_RESERVE_FRACTION,
      RATE_QUEUE_TIMEOUT_MS,
      now,
    );
    this.maxTransactionWrites = limits.txn_ops;
    this.watchGapMs = (1000 * limits.nodes) / (limits.rps * WATCH_REQUEST_FRACTION);
    this.rates = { requests: limits.rps, changes: limits.write_rps };
  }
  readonly maxTransactionWrites: number;
  /** Changes that one transaction should hold at the present rate. */
  get batchWrites(): number {
    return Math.min(
      this.maxTransactionWrites,
      Math.max(MIN_TRANSACTION_CHANGES, Math.floor(this.changes.perSecond * TRANSACTION_RATE_FRACTION)),
    );
  }
  /** ms: pause between two watches, so that they take a bounded part of the requests. */
  readonly watchGapMs: number;
  /** What all nodes together may use, a second. */
  readonly rates: { readonly requests: number; readonly changes: number };

  private seen(answer: CallOutcome): CallOutcome {
    if (answer._tag === 'response' && answer.status < 500 && answer.status !== 429)
      this.lastAnsweredAt = this.now();
    return answer;
  }

  private async call(
    rank: RequestPriority,
    client: HttpClient,
    method: string,
    path: string,
    body: unknown,
    ms: number,
  ) {
    for (let tries = 0; ; tries += 1) {
      if (!(await this.requests.take(1, rank))) return null;
      const answer = this.seen(await client.request(method, path, body, ms));
      // 429: not carried out. All nodes together asked for more than there is; soon there is some again.
      if (
        rank !== 'user' ||
        answer._tag !== 'response' ||
        answer.status !== 429 ||
        tries >= MAX_RATE_LIMITED_RETRIES
      )
        return answer;
      await new Promise((resolve) => {
        setTimeout(resolve, RATE_LIMITED_RETRY_DELAY_MS);
      });
    }
  }

  get(key: string, rank: RequestPriority): Effect.Effect<ReadResult> {
    return Effect.promise(async (): Promise<ReadResult> => {
      const answer = await this.call(
        rank,
        this.calls,
        'GET',
        `/store/${key}`,
        undefined,
        STORE_REQUEST_TIMEOUT_MS,
      );
      if (answer === null) return { _tag: 'failed', why: 'over budget' };
      if (answer._tag === 'response' && answer.status === 200)
        return { _tag: 'found', item: item(answer.body as RawItem) };
      if (answer._tag === 'response' && answer.status === 404) return { _tag: 'absent' };
      return { _tag: 'failed', why: why(answer) };
    });
  }

  page(prefix: string, after: string | null, rank: RequestPriority): Effect.Effect<ListResult> {
    return Effect.promise(async (): Promise<ListResult> => {
      const path = `/store?under=${encodeURIComponent(prefix)}&most=${LIST_PAGE_ITEMS}${after === null ? '' : `&since=${encodeURIComponent(after)}`}`;
      const answer = await this.call(rank, this.calls, 'GET', path, undefined, STORE_LIST_TIMEOUT_MS);
      if (answer === null) return { _tag: 'failed', why: 'over budget' };
      if (answer._tag !== 'response' || answer.status !== 200) return { _tag: 'failed', why: why(answer) };
      const body = answer.body as { rows: RawItem[]; more: boolean; epoch: number };
      return { _tag: 'page', items: body.rows.map(item), more: body.more, revision: body.epoch };
    });
  }

  /** All pages under a prefix. The revision is that of the first page: a watch from there misses nothing. */
  list(prefix: string, rank: RequestPriority): Effect.Effect<ListResult> {
    return Effect.gen({ self: this }, function* () {
      const items: StoredEntry[] = [];
      let after: string | null = null;
      let revision = -1;
      for (;;) {
        const page: ListResult = yield* this.page(prefix, after, rank);
        if (page._tag === 'failed') return page;
        if (revision < 0) revision = page.revision;
        items.push(...page.items);
        const last = page.items.at(-1);
        if (!page.more || !last) return { _tag: 'page', items, more: false, revision } as const;
        after = last.key;
      }
    });
  }

  compareAndSwap(
    when: readonly Condition[],
    writes: readonly Write[],
    rank: RequestPriority,
  ): Effect.Effect<TransactionResult> {
    return Effect.promise(async (): Promise<TransactionResult> => {
      if (writes.length > 0 && !(await this.changes.take(writes.length, rank))) {
        return { _tag: 'refused', why: 'over budget' };
      }
      const body = {
        when: when.map((condition) => ({ path: condition.key, brandMark: condition.version })),
        writes: writes.map((write) =>
          write._tag === 'put'
            ? {
                write: write.key,
                data: write.value,
                ...(write.lease === undefined ? {} : { permit: write.lease }),
              }
            : { remove: write.key },
        ),
      };
      const answer = await this.call(rank, this.calls, 'POST', '/txn', body, STORE_REQUEST_TIMEOUT_MS);
      if (answer === null) return { _tag: 'refused', why: 'over budget' };
      if (answer._tag === 'noResponse') return { _tag: 'unknown', why: answer.why };
      const data = answer.body as { epoch?: number; failed?: string[]; error?: string } | null;
      switch (answer.status) {
        case 200:
          return { _tag: 'committed', revision: data?.epoch ?? 0 };
        case 409:
          return { _tag: 'conflict', failed: data?.failed ?? [] };
        case 400:
          return data?.error === 'no such lease'
            ? { _tag: 'noLease' }
            : { _tag: 'refused', why: `400 ${data?.error ?? ''}` };
        case 429:
        case 503:
          return { _tag: 'refused', why: `status ${answer.status}` };
        default:
          return { _tag: 'unknown', why: `status ${answer.status}` };
      }
    });
  }

  grant(): Effect.Effect<LeaseResult> {
    return this.lease('POST', '/holds', { ttlMs: SHARD_LEASE_TTL_MS });
  }
  renew(lease: number): Effect.Effect<LeaseResult> {
    return this.lease('POST', `/holds/${lease}/renew`, {});
  }

  private lease(method: string, path: string, body: unknown): Effect.Effect<LeaseResult> {
    return Effect.promise(async (): Promise<LeaseResult> => {
      if (!(await this.requests.take(1, 'vital'))) return { _tag: 'failed', why: 'over budget' };
      const sentAt = this.now();
      const answer = this.seen(await this.leases.request(method, path, body, LEASE_REQUEST_TIMEOUT_MS));
      if (answer._tag === 'response' && answer.status === 200) {
        return { _tag: 'held', lease: (answer.body as { permit: number }).permit, sentAt };
      }
      if (answer._tag === 'response' && answer.status === 404) return { _tag: 'gone' };
      return { _tag: 'failed', why: why(answer) };
    });
  }

  watch(prefix: string, since: number): Effect.Effect<WatchResult> {
    return Effect.promise(async (): Promise<WatchResult> => {
      if (!(await this.requests.take(1, 'user'))) return { _tag: 'failed', why: 'over budget' };
      const path = `/follow?under=${encodeURIComponent(prefix)}&since=${since}&waitMs=${WATCH_TIMEOUT_MS}`;
      const answer = this.seen(await this.watches.request('GET', path, undefined, WATCH_REQUEST_TIMEOUT_MS));
      if (answer._tag === 'response' && answer.status === 410) return { _tag: 'tooOld' };
      if (answer._tag !== 'response' || answer.status !== 200) return { _tag: 'failed', why: why(answer) };
      const body = answer.body as {
        epoch: number;
        news: ({ write: string; data: unknown; brandMark: number } | { remove: string; brandMark: number })[];
      };
      return {
        _tag: 'events',
        revision: body.epoch,
        events: body.news.map((event) =>
          'write' in event
            ? { _tag: 'put', item: { key: event.write, value: event.data, version: event.brandMark } }
            : { _tag: 'delete', key: event.remove, version: event.brandMark },
        ),
      };
    });
  }
}
