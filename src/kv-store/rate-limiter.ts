/**
 * Token bucket for one rate, with a queue for each priority: it admits lease renewals and users' calls while
 * background work waits. Owns the tokens, the queues and the measured demand. The clients of the key-value
 * store and of the cloud have a limiter for each of their rates.
 */
import {
  BATCH_ADMISSION_FRACTION,
  BIND_RESERVE_FRACTION,
  MAX_RATE_QUEUE_CHECK_INTERVAL_MS,
  MIN_RATE_QUEUE_CHECK_INTERVAL_MS,
  RATE_DEMAND_WINDOW_MS,
  VITAL_OVERDRAFT_FRACTION,
} from '../constants/key-value-store.js';

/** Priorities, highest first: leases and claims, users' calls, binding of tasks, background work. */
export type RequestPriority = 'vital' | 'user' | 'bind' | 'work';
const REQUEST_PRIORITIES: readonly RequestPriority[] = ['vital', 'user', 'bind', 'work'];

/** A request that waits for its tokens. */
interface QueuedRequest {
  readonly tokens: number;
  /** When the request stops waiting, in ms of the limiter's clock. */
  readonly expiresAt: number;
  readonly resolve: (granted: boolean) => void;
}

const sleepMs = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Token bucket for one rate; its capacity is the tokens of one second. */
export class RateLimiter {
  /** Available tokens; negative while the tokens of an admitted batch are not yet refilled. */
  private tokens: number;
  private refilledAt: number;
  private readonly queues: Record<RequestPriority, QueuedRequest[]> = {
    vital: [],
    user: [],
    bind: [],
    work: [],
  };
  private servingQueues = false;
  /** Tokens requested in the current window. */
  private windowDemand = 0;
  /** Tokens requested in the window before the current one. */
  private previousWindowDemand = 0;
  private windowStartedAt: number;

  constructor(
    /** Tokens per second. */
    private rate: number,
    /** Fraction of the rate that is reserved for priorities above background work. */
    private readonly reserveFraction: number,
    /** How long a request may wait for its tokens, in ms. */
    private readonly queueTimeoutMs: number,
    private readonly now: () => number,
    private readonly sleep: (ms: number) => Promise<void> = sleepMs,
  ) {
    this.tokens = rate;
    this.refilledAt = now();
    this.windowStartedAt = this.refilledAt;
  }

  /** Tokens per second. */
  get perSecond(): number {
    return this.rate;
  }

  /** Sets this controller's part of the common rate, agreed on from the demands of all controllers. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
    this.tokens = Math.min(this.tokens, rate);
  }

  /** Tokens requested per second, averaged over the previous and the current window. */
  demand(): number {
    this.advanceWindow();
    const spanS = (RATE_DEMAND_WINDOW_MS + this.now() - this.windowStartedAt) / 1000;
    return (this.windowDemand + this.previousWindowDemand) / spanS;
  }

  private advanceWindow(): void {
    const passedMs = this.now() - this.windowStartedAt;
    if (passedMs < RATE_DEMAND_WINDOW_MS) return;
    this.previousWindowDemand = passedMs < 2 * RATE_DEMAND_WINDOW_MS ? this.windowDemand : 0;
    this.windowDemand = 0;
    this.windowStartedAt = this.now();
  }

  /**
   * Tokens that a request of this priority must leave: `bind` and `work` leave a reserve to the priorities
   * above them, `user` leaves none, and `vital` may overdraw the bucket.
   */
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
   * Tokens above the floor that a request needs to be admitted. A batch needs only a part of its tokens; the
   * others become a debt, which is refilled before later requests are admitted. If a batch as large as the
   * bucket needed all of its tokens, it would need a full bucket, which other requests never leave.
   */
  private requiredTokens(tokens: number, priority: RequestPriority): number {
    return Math.min(tokens, this.rate * BATCH_ADMISSION_FRACTION, this.rate - this.floor(priority));
  }

  /** Takes the tokens if the request can be admitted now; returns whether it was. */
  tryTake(tokens: number, priority: RequestPriority): boolean {
    this.refill();
    if (this.tokens - this.requiredTokens(tokens, priority) < this.floor(priority)) return false;
    this.tokens -= tokens;
    return true;
  }

  /** Takes the tokens as soon as the request can be admitted; false: it waited longer than the timeout. */
  take(tokens: number, priority: RequestPriority): Promise<boolean> {
    this.advanceWindow();
    this.windowDemand += tokens;
    // First come, first served within a priority: otherwise small requests could starve a large one.
    if (this.queues[priority].length === 0 && this.tryTake(tokens, priority)) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.queues[priority].push({ tokens, expiresAt: this.now() + this.queueTimeoutMs, resolve });
      if (!this.servingQueues) void this.serveQueues();
    });
  }

  /**
   * Time in ms until the next check of the queues: until the first request of some queue can be admitted or
   * stops waiting, but at least `MIN_RATE_QUEUE_CHECK_INTERVAL_MS` and at most
   * `MAX_RATE_QUEUE_CHECK_INTERVAL_MS`. At the current rate, an earlier check would find no such request.
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

  /** Resolves the requests at the head of a queue that can be admitted or have waited too long. */
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
