/**
 * Answers to workers that wait for the next placement round, so that what is placed can travel in them. Owns
 * the set of waits; `Shard` adds to it and ends them after a round.
 */

/** Callers that wait for the end of a round. */
export class RoundWaiters {
  private readonly waits = new Set<() => void>();

  /** Resolves when a round that has yet to begin ends the waits, or after `ms`. */
  wait(ms: number): Promise<void> {
    return new Promise<void>((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.waits.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.waits.add(end);
    });
  }

  /** Those that wait now, as functions that end each wait: what a round that begins now is to call. */
  current(): readonly (() => void)[] {
    return [...this.waits];
  }
}
