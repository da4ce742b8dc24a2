/**
 * Client of the key-value store, within this controller's part of the common rates. Owns the connections, the
 * two rate limiters and the moment of the store's last answer. Every subsystem reads and writes the store
 * through it.
 */
import * as Effect from 'effect/Effect';
import {
  LEASE_REQUEST_TIMEOUT_MS,
  LEASE_SOCKETS,
  LIST_PAGE_ENTRIES,
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
import { CONTROLLER_LEASE_TTL_MS } from '../constants/leases.js';
import type { CallOutcome, HttpClient, HttpClientFactory, Target } from '../http/model.js';
import type { StoreLimits } from '../settings/limits-codec.js';
import {
  entryPath,
  LEASES_PATH,
  listPath,
  readChanges,
  readEntry,
  readLease,
  readPage,
  readTransactionResult,
  renewalPath,
  TRANSACTION_PATH,
  watchPath,
  writeLeaseRequest,
  writeTransaction,
} from './codec.js';
import type {
  Condition,
  LeaseResult,
  ListResult,
  ReadResult,
  StoredEntry,
  TransactionResult,
  WatchResult,
  Write,
} from './model.js';
import { CLAIM_PREFIX } from './keys.js';
import { RateLimiter, type RequestPriority } from './rate-limiter.js';

/** What all controllers together may ask of the store, and how many they are. */
interface ClientLimits extends Omit<StoreLimits, 'valueKb'> {
  readonly nodes: number;
}

interface StoreRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/**
 * What became of a request: it was not sent for want of rate, or it was sent at `sentAt` (ms, lease clock).
 */
type Attempt =
  | { readonly _tag: 'overRate' }
  | { readonly _tag: 'sent'; readonly sentAt: number; readonly outcome: CallOutcome };

const OVER_RATE: Attempt = { _tag: 'overRate' };
const OVER_RATE_REASON = 'over budget';

/** The status of the answer; null: there is none. */
const statusOf = (attempt: Attempt): number | null =>
  attempt._tag === 'sent' && attempt.outcome._tag === 'response' ? attempt.outcome.status : null;

/** Why a request has no answer of use. */
const failureOf = (attempt: Attempt): { readonly _tag: 'failed'; readonly why: string } => {
  if (attempt._tag === 'overRate') return { _tag: 'failed', why: OVER_RATE_REASON };
  const { outcome } = attempt;
  return {
    _tag: 'failed',
    why: outcome._tag === 'noResponse' ? outcome.why : `status ${outcome.status}`,
  };
};

/** The answer's body; null unless it has the status 200. */
const okBody = (attempt: Attempt): { readonly body: unknown; readonly sentAt: number } | null => {
  if (attempt._tag !== 'sent' || attempt.outcome._tag !== 'response') return null;
  const { outcome, sentAt } = attempt;
  return outcome.status === 200 ? { body: outcome.body, sentAt } : null;
};

/** Client of the key-value store. */
export class KeyValueStore {
  private readonly calls: HttpClient;
  private readonly watches: HttpClient;
  private readonly leases: HttpClient;
  private answeredAt = 0;
  /** This controller's part of the request rate. */
  readonly requests: RateLimiter;
  /** This controller's part of the rate of changes. */
  readonly changes: RateLimiter;
  /** Changes that one transaction may hold. */
  readonly maxTransactionWrites: number;
  /** ms: pause between two watches, so that they take a bounded part of the requests. */
  readonly watchGapMs: number;
  /** What all controllers together may use, a second. */
  readonly rates: { readonly requests: number; readonly changes: number };

  constructor(
    target: Target,
    limits: ClientLimits,
    /** ms, lease clock. */
    private readonly now: () => number,
    createHttpClient: HttpClientFactory,
  ) {
    this.calls = createHttpClient(target, STORE_SOCKETS);
    this.watches = createHttpClient(target, WATCH_SOCKETS);
    this.leases = createHttpClient(target, LEASE_SOCKETS);
    const evenPart = (rate: number): RateLimiter =>
      new RateLimiter(rate / limits.nodes, RATE_RESERVE_FRACTION, RATE_QUEUE_TIMEOUT_MS, now);
    this.requests = evenPart(limits.requestsPerSecond);
    this.changes = evenPart(limits.changesPerSecond);
    this.maxTransactionWrites = limits.maxTransactionWrites;
    this.watchGapMs = (1000 * limits.nodes) / (limits.requestsPerSecond * WATCH_REQUEST_FRACTION);
    this.rates = { requests: limits.requestsPerSecond, changes: limits.changesPerSecond };
  }

  /** ms, lease clock: when the store last answered anything but 429 or an error of its own; 0: never. */
  get lastAnsweredAt(): number {
    return this.answeredAt;
  }

  /** Changes that one transaction should hold at the present rate. */
  get batchWrites(): number {
    const affordable = Math.floor(this.changes.perSecond * TRANSACTION_RATE_FRACTION);
    return Math.min(this.maxTransactionWrites, Math.max(MIN_TRANSACTION_CHANGES, affordable));
  }

  /** Sends a request once, as soon as there is rate for it. */
  private async attempt(
    client: HttpClient,
    request: StoreRequest,
    priority: RequestPriority,
  ): Promise<Attempt> {
    if (!(await this.requests.take(1, priority))) return OVER_RATE;
    const sentAt = this.now();
    const outcome = await client.request(request.method, request.path, request.body, request.timeoutMs);
    if (outcome._tag === 'response' && outcome.status < 500 && outcome.status !== 429)
      this.answeredAt = this.now();
    return { _tag: 'sent', sentAt, outcome };
  }

  /**
   * Sends a request; a user's again after a 429. That was not carried out: all controllers together asked for
   * more than there is, and soon there is some again.
   */
  private async send(request: StoreRequest, priority: RequestPriority): Promise<Attempt> {
    for (let retries = 0; ; retries += 1) {
      const attempt = await this.attempt(this.calls, request, priority);
      const rateLimited = statusOf(attempt) === 429;
      if (priority !== 'user' || !rateLimited || retries >= MAX_RATE_LIMITED_RETRIES) return attempt;
      await new Promise((resolve) => {
        setTimeout(resolve, RATE_LIMITED_RETRY_DELAY_MS);
      });
    }
  }

  /** Reads a key. */
  get(key: string, priority: RequestPriority): Effect.Effect<ReadResult> {
    return Effect.promise(async (): Promise<ReadResult> => {
      const request: StoreRequest = {
        method: 'GET',
        path: entryPath(key),
        timeoutMs: STORE_REQUEST_TIMEOUT_MS,
      };
      const attempt = await this.send(request, priority);
      const answer = okBody(attempt);
      if (answer) return { _tag: 'found', entry: readEntry(answer.body) };
      return statusOf(attempt) === 404 ? { _tag: 'absent' } : failureOf(attempt);
    });
  }

  /** Lists the first keys under a prefix that come after `after`; null: from the first on. */
  page(prefix: string, after: string | null, priority: RequestPriority): Effect.Effect<ListResult> {
    return Effect.promise(async (): Promise<ListResult> => {
      const request: StoreRequest = {
        method: 'GET',
        path: listPath(prefix, after, LIST_PAGE_ENTRIES),
        timeoutMs: STORE_LIST_TIMEOUT_MS,
      };
      const attempt = await this.send(request, priority);
      const answer = okBody(attempt);
      return answer ? readPage(answer.body) : failureOf(attempt);
    });
  }

  /** All pages under a prefix. The revision is that of the first page: a watch from there misses nothing. */
  list(prefix: string, priority: RequestPriority): Effect.Effect<ListResult> {
    return Effect.gen({ self: this }, function* () {
      const entries: StoredEntry[] = [];
      let after: string | null = null;
      let revision = -1;
      for (;;) {
        const page: ListResult = yield* this.page(prefix, after, priority);
        if (page._tag === 'failed') return page;
        if (revision < 0) revision = page.revision;
        entries.push(...page.entries);
        const last = page.entries.at(-1);
        if (!page.more || !last) return { _tag: 'page', entries, more: false, revision } as const;
        after = last.key;
      }
    });
  }

  /** Carries out all writes at once if every condition is met, else none. */
  compareAndSwap(
    conditions: readonly Condition[],
    writes: readonly Write[],
    priority: RequestPriority,
  ): Effect.Effect<TransactionResult> {
    return Effect.promise(async (): Promise<TransactionResult> => {
      if (writes.length > 0 && !(await this.changes.take(writes.length, priority)))
        return { _tag: 'refused', why: OVER_RATE_REASON };
      const request: StoreRequest = {
        method: 'POST',
        path: TRANSACTION_PATH,
        body: writeTransaction(conditions, writes),
        timeoutMs: STORE_REQUEST_TIMEOUT_MS,
      };
      const attempt = await this.send(request, priority);
      if (attempt._tag === 'overRate') return { _tag: 'refused', why: OVER_RATE_REASON };
      const { outcome } = attempt;
      if (outcome._tag === 'noResponse') return { _tag: 'unknown', why: outcome.why };
      return readTransactionResult(outcome.status, outcome.body);
    });
  }

  /** Asks for a lease. */
  grant(): Effect.Effect<LeaseResult> {
    return this.leaseRequest(LEASES_PATH, writeLeaseRequest(CONTROLLER_LEASE_TTL_MS));
  }

  /** Renews a lease. */
  renew(lease: number): Effect.Effect<LeaseResult> {
    return this.leaseRequest(renewalPath(lease), {});
  }

  /**
   * The claims as they are now, with the store's revision. Goes over the connections of the leases: whoever
   * asks needs it for a lease, and waits for no other call.
   */
  claims(): Effect.Effect<ListResult> {
    return Effect.promise(async (): Promise<ListResult> => {
      const request: StoreRequest = {
        method: 'GET',
        path: listPath(CLAIM_PREFIX, null, LIST_PAGE_ENTRIES),
        timeoutMs: LEASE_REQUEST_TIMEOUT_MS,
      };
      const attempt = await this.attempt(this.leases, request, 'vital');
      const answer = okBody(attempt);
      return answer ? readPage(answer.body) : failureOf(attempt);
    });
  }

  private leaseRequest(path: string, body: unknown): Effect.Effect<LeaseResult> {
    return Effect.promise(async (): Promise<LeaseResult> => {
      const request: StoreRequest = { method: 'POST', path, body, timeoutMs: LEASE_REQUEST_TIMEOUT_MS };
      const attempt = await this.attempt(this.leases, request, 'vital');
      const answer = okBody(attempt);
      if (answer) return { _tag: 'held', lease: readLease(answer.body), sentAt: answer.sentAt };
      return statusOf(attempt) === 404 ? { _tag: 'gone' } : failureOf(attempt);
    });
  }

  /** Waits for changes under a prefix after a revision; none within `WATCH_TIMEOUT_MS` is an empty batch. */
  watch(prefix: string, revision: number): Effect.Effect<WatchResult> {
    return Effect.promise(async (): Promise<WatchResult> => {
      const request: StoreRequest = {
        method: 'GET',
        path: watchPath(prefix, revision, WATCH_TIMEOUT_MS),
        timeoutMs: WATCH_REQUEST_TIMEOUT_MS,
      };
      const attempt = await this.attempt(this.watches, request, 'user');
      if (statusOf(attempt) === 410) return { _tag: 'tooOld' };
      const answer = okBody(attempt);
      return answer ? readChanges(answer.body) : failureOf(attempt);
    });
  }
}
