/**
 * Token bucket for one rate, with a queue for each priority: lease renewals and users' calls pass while
 * background work waits. Owns its tokens, its queues and the demand it has seen; the key-value store's client
 * and the cloud's have one for each of their rates.
 */
import {
  BATCH_ADMISSION_FRACTION,
  BIND_RESERVE_FRACTION,
  MAX_RATE_QUEUE_CHECK_INTERVAL_MS,
  MIN_RATE_QUEUE_CHECK_INTERVAL_MS,
  RATE_DEMAND_WINDOW_MS,
  VITAL_OVERDRAFT_FRACTION,
} from '../constants/key-value-store.js';

/** From the highest on: leases and claims, users' calls, binding of tasks, background work. */
export type RequestPriority = 'vital' | 'user' | 'bind' | 'work';
const REQUEST_PRIORITIES: readonly RequestPriority[] = ['vital', 'user', 'bind', 'work'];

/** A request that waits for its tokens. */
interface QueuedRequest {
  readonly tokens: number;
  /** ms: when it is given up. */
  readonly expiresAt: number;
  readonly resolve: (granted: boolean) => void;
}

const sleepMs = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Token bucket for one rate, which holds the tokens of one second. */
export class RateLimiter {
  /** Negative while a batch is owed. */
  private tokens: number;
  private refilledAt: number;
  private readonly queues: Record<RequestPriority, QueuedRequest[]> = {
    vital: [],
    user: [],
    bind: [],
    work: [],
  };
  private servingQueues = false;
  /** Tokens asked for in the present window and in the one before. */
  private demanded = 0;
  private demandedBefore = 0;
  private windowStartedAt: number;

  constructor(
    /** Tokens a second. */
    private rate: number,
    /** Part of the rate that background work leaves to others. */
    private readonly reserveFraction: number,
    /** ms: how long a request waits for its tokens. */
    private readonly queueTimeoutMs: number,
    private readonly now: () => number,
    private readonly sleep: (ms: number) => Promise<void> = sleepMs,
  ) {
    this.tokens = rate;
    this.refilledAt = now();
    this.windowStartedAt = this.refilledAt;
  }

  /** Tokens a second. */
  get perSecond(): number {
    return this.rate;
  }

  /** Sets this controller's part of the common rate, as agreed from what all controllers ask for. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
    this.tokens = Math.min(this.tokens, rate);
  }

  /** Tokens asked for a second, over the last window or two. */
  demand(): number {
    this.advanceWindow();
    const spanS = (RATE_DEMAND_WINDOW_MS + this.now() - this.windowStartedAt) / 1000;
    return (this.demanded + this.demandedBefore) / spanS;
  }

  private advanceWindow(): void {
    const passedMs = this.now() - this.windowStartedAt;
    if (passedMs < RATE_DEMAND_WINDOW_MS) return;
    this.demandedBefore = passedMs < 2 * RATE_DEMAND_WINDOW_MS ? this.demanded : 0;
    this.demanded = 0;
    this.windowStartedAt = this.now();
  }

  /** Tokens that must be left: each priority below `vital` leaves some to those above it. */
  private floor(priority: RequestPriority): number {
    switch (priority) {
      case 'vital':
        return -this.rate * VITAL_OVERDRAFT_FRACTION;
      case 'user':
        return 0;
      case 'bind':
        return this.rate * this.reserveFraction * BIND_RESERVE_FRACTION;
      case 'work':
        return this.rate * this.reserveFraction;
    }
  }

  private refill(): void {
    const now = this.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.refilledAt) / 1000) * this.rate);
    this.refilledAt = now;
  }

  /**
   * Tokens that must be there above the floor for a request to pass. Of a batch only a part: the rest is
   * owed, and what comes after waits for it. Were the whole asked for, a batch as large as the bucket would
   * need it full, which others never leave it.
   */
  private requiredTokens(tokens: number, priority: RequestPriority): number {
    return Math.min(tokens, this.rate * BATCH_ADMISSION_FRACTION, this.rate - this.floor(priority));
  }

  /** Takes the tokens if the request may pass now. */
  tryTake(tokens: number, priority: RequestPriority): boolean {
    this.refill();
    if (this.tokens - this.requiredTokens(tokens, priority) < this.floor(priority)) return false;
    this.tokens -= tokens;
    return true;
  }

  /** Takes the tokens as soon as the request may pass; false: it waited too long. */
  take(tokens: number, priority: RequestPriority): Promise<boolean> {
    this.advanceWindow();
    this.demanded += tokens;
    // First come, first served within a priority: a small request never overtakes a large one for ever.
    if (this.queues[priority].length === 0 && this.tryTake(tokens, priority)) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.queues[priority].push({ tokens, expiresAt: this.now() + this.queueTimeoutMs, resolve });
      if (!this.servingQueues) void this.serveQueues();
    });
  }

  /**
   * ms until the first of some queue can have its tokens, or is given up: an earlier check finds nothing to
   * do.
   */
  private nextCheckMs(): number {
    this.refill();
    let nextMs = MAX_RATE_QUEUE_CHECK_INTERVAL_MS;
    for (const priority of REQUEST_PRIORITIES) {
      const first = this.queues[priority][0];
      if (!first) continue;
      const missing = this.floor(priority) + this.requiredTokens(first.tokens, priority) - this.tokens;
      nextMs = Math.min(nextMs, (missing / this.rate) * 1000, first.expiresAt - this.now());
    }
    return Math.max(MIN_RATE_QUEUE_CHECK_INTERVAL_MS, nextMs);
  }

  /** Settles the first requests of a queue that have their tokens or have waited too long. */
  private serveQueue(priority: RequestPriority): void {
    const queue = this.queues[priority];
    for (let first = queue[0]; first; first = queue[0]) {
      const granted = this.tryTake(first.tokens, priority);
      if (!granted && this.now() < first.expiresAt) return;
      queue.shift();
      first.resolve(granted);
    }
  }

  private async serveQueues(): Promise<void> {
    this.servingQueues = true;
    while (REQUEST_PRIORITIES.some((priority) => this.queues[priority].length > 0)) {
      await this.sleep(this.nextCheckMs());
      for (const priority of REQUEST_PRIORITIES) this.serveQueue(priority);
    }
    this.servingQueues = false;
  }
}
