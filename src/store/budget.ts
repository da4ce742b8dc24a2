/** A token bucket with ranks: renewals and users' calls pass while background work waits. */
export type Rank = 'vital' | 'user' | 'work';

export class Budget {
  private level: number;
  private at: number;
  constructor(
    readonly perSecond: number,
    private readonly reserve: number,
    private readonly patienceMs: number,
    private readonly now: () => number,
    private readonly sleep: (ms: number) => Promise<void> = (ms) =>
      new Promise((resolve) => {
        setTimeout(resolve, ms);
      }),
  ) {
    this.level = perSecond;
    this.at = now();
  }

  /** Ranks below `vital` leave some room for those above them. */
  private floor(rank: Rank): number {
    switch (rank) {
      case 'vital':
        return -this.perSecond * 0.1;
      case 'user':
        return 0;
      case 'work':
        return this.perSecond * this.reserve;
    }
  }

  tryTake(count: number, rank: Rank): boolean {
    const now = this.now();
    this.level = Math.min(this.perSecond, this.level + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    // A batch larger than what the rank may ever hold passes when the bucket is full.
    const need = Math.min(count, this.perSecond - this.floor(rank));
    if (this.level - need < this.floor(rank)) return false;
    this.level -= count;
    return true;
  }

  async take(count: number, rank: Rank): Promise<boolean> {
    const until = this.now() + this.patienceMs;
    while (!this.tryTake(count, rank)) {
      if (this.now() >= until) return false;
      await this.sleep(20);
    }
    return true;
  }
}
