/**
 * Lets answers to workers wait for the next placement round, so that they can carry the commands of tasks
 * placed in it. Owns the set of waits; `Shard` adds to it and ends the waits after a round.
 */

/** Callers that wait for the end of a round. */
export class RoundWaiters {
  private readonly waits = new Set<() => void>();

  /** Resolves when a round that began after this call has ended, or after `ms`. */
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

  /**
   * The current waits, each as the function that ends the wait. A round that begins now calls these functions
   * when its bindings are durable.
   */
  current(): readonly (() => void)[] {
    return [...this.waits];
  }
}
