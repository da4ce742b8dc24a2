/** Batches items that are submitted within a short delay. Owns the pending items; any module may use it. */

interface PendingItem<Item, Output> {
  readonly item: Item;
  readonly resolve: (output: Output) => void;
}

/**
 * Combines items into batches: the first item waits for others for a short delay, then one call processes the
 * whole batch. The call always starts after each of its items was submitted.
 */
export class Batcher<Item, Output> {
  private pending: PendingItem<Item, Output>[] = [];
  private timer: ReturnType<typeof setTimeout> | null = null;

  constructor(
    /** How long the first item of a batch waits for others, in ms. */
    private readonly delayMs: number,
    /** Number of items at which a batch is processed without further delay. */
    private readonly maxBatchSize: number,
    /** Processes a batch; resolves with the outputs in the order of the items and must not reject. */
    private readonly processBatch: (items: readonly Item[]) => Promise<readonly Output[]>,
  ) {}

  /** Adds an item to the next batch; resolves with its output. */
  submit(item: Item): Promise<Output> {
    return new Promise((resolve) => {
      this.pending.push({ item, resolve });
      if (this.pending.length >= this.maxBatchSize) this.send();
      else this.timer ??= setTimeout(() => this.send(), this.delayMs);
    });
  }

  private send(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    const batch = this.pending;
    this.pending = [];
    void this.processBatch(batch.map(({ item }) => item)).then((outputs) => {
      batch.forEach(({ resolve }, index) => resolve(outputs[index] as Output));
    });
  }
}
