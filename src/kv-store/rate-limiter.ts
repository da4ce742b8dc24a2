import {
  BATCH_ADMISSION_FRACTION,
  BIND_RESERVE_FRACTION,
  MAX_RATE_QUEUE_CHECK_INTERVAL_MS,
  MIN_RATE_QUEUE_CHECK_INTERVAL_MS,
  RATE_DEMAND_WINDOW_MS,
  VITAL_OVERDRAFT_FRACTION,
} from '../constants/key-value-store.js';

/** A token bucket with ranks: renewals and users' calls pass while background work waits. */
export type RequestPriority = 'vital' | 'user' | 'bind' | 'work';
const REQUEST_PRIORITIES: readonly RequestPriority[] = ['vital', 'user', 'bind', 'work'];

interface Waiting {
  readonly count: number;
  readonly until: number;
  readonly settle: (granted: boolean) => void;
}

/** Token bucket for one rate, with a queue by rank. */
export class RateLimiter {
  private level: number;
  private at: number;
  private readonly queues: Record<RequestPriority, Waiting[]> = { vital: [], user: [], bind: [], work: [] };
  private pumping = false;
  private wanted = 0;
  private wantedBefore = 0;
  private windowAt: number;

  constructor(
    private rate: number,
    private readonly reserve: number,
    private readonly patienceMs: number,
    private readonly now: () => number,
    private readonly sleep: (ms: number) => Promise<void> = (ms) =>
      new Promise((resolve) => {
        setTimeout(resolve, ms);
      }),
  ) {
    this.level = rate;
    this.at = now();
    this.windowAt = this.at;
  }

  get perSecond(): number {
    return this.rate;
  }
  /** This node's part of the common rate, as agreed from what all nodes ask for. */
  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
    this.level = Math.min(this.level, rate);
  }

  /** Tokens asked for a second, over the last window or two. */
  demand(): number {
    this.turnWindow();
    const spanS = (RATE_DEMAND_WINDOW_MS + this.now() - this.windowAt) / 1000;
    return (this.wanted + this.wantedBefore) / spanS;
  }
  private turnWindow(): void {
    const passed = this.now() - this.windowAt;
    if (passed < RATE_DEMAND_WINDOW_MS) return;
    this.wantedBefore = passed < 2 * RATE_DEMAND_WINDOW_MS ? this.wanted : 0;
    this.wanted = 0;
    this.windowAt = this.now();
  }

  /** Ranks below `vital` leave some room for those above them. */
  private floor(rank: RequestPriority): number {
    switch (rank) {
      case 'vital':
        return -this.rate * VITAL_OVERDRAFT_FRACTION;
      case 'user':
        return 0;
      case 'bind':
        return this.rate * this.reserve * BIND_RESERVE_FRACTION;
      case 'work':
        return this.rate * this.reserve;
    }
  }

  private refill(): void {
    const now = this.now();
    this.level = Math.min(this.rate, this.level + ((now - this.at) / 1000) * this.rate);
    this.at = now;
  }

  /**
   * What must be there for a call to pass. Of a batch only a part: the rest is owed, and what comes after
   * waits for it. Were the whole asked for, a batch as large as the bucket would need it full, which others
   * never leave it.
   */
  private need(count: number, rank: RequestPriority): number {
    return Math.min(count, this.rate * BATCH_ADMISSION_FRACTION, this.rate - this.floor(rank));
  }

  tryTake(count: number, rank: RequestPriority): boolean {
    this.refill();
    if (this.level - this.need(count, rank) < this.floor(rank)) return false;
    this.level -= count;
    return true;
  }

  take(count: number, rank: RequestPriority): Promise<boolean> {
    this.turnWindow();
    this.wanted += count;
    // Whoever came first within a rank goes first; a later small call never overtakes a large one for ever.
    if (this.queues[rank].length === 0 && this.tryTake(count, rank)) return Promise.resolve(true);
    return new Promise((resolve) => {
      this.queues[rank].push({ count, until: this.now() + this.patienceMs, settle: resolve });
      if (!this.pumping) void this.pump();
    });
  }

  /** When the first in some queue can have its tokens, or gives up: looking more often only costs time. */
  private nextLookMs(): number {
    this.refill();
    let least = MAX_RATE_QUEUE_CHECK_INTERVAL_MS;
    for (const rank of REQUEST_PRIORITIES) {
      const head = this.queues[rank][0];
      if (!head) continue;
      const missing = this.floor(rank) + this.need(head.count, rank) - this.level;
      least = Math.min(least, (missing / this.rate) * 1000, head.until - this.now());
    }
    return Math.max(MIN_RATE_QUEUE_CHECK_INTERVAL_MS, least);
  }

  private async pump(): Promise<void> {
    this.pumping = true;
    while (REQUEST_PRIORITIES.some((rank) => this.queues[rank].length > 0)) {
      await this.sleep(this.nextLookMs());
      for (const rank of REQUEST_PRIORITIES) {
        const queue = this.queues[rank];
        for (let head = queue[0]; head; head = queue[0]) {
          const granted = this.tryTake(head.count, rank);
          if (!granted && this.now() < head.until) break;
          queue.shift();
          head.settle(granted);
        }
      }
    }
    this.pumping = false;
  }
}
