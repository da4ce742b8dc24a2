/** Batches requests that come close together. Owns the requests that wait; any module may use it. */

/**
 * Questions that come together are asked together: the first waits a moment for others, then one call answers
 * all. An answer is always younger than its question.
 */
export class Batcher<Question, CallOutcome> {
  private waiting: { question: Question; settle: (answer: CallOutcome) => void }[] = [];
  private timer: ReturnType<typeof setTimeout> | null = null;

  constructor(
    private readonly delayMs: number,
    private readonly most: number,
    /** Answers in the order of the questions; must not reject. */
    private readonly askAll: (questions: readonly Question[]) => Promise<readonly CallOutcome[]>,
  ) {}

  ask(question: Question): Promise<CallOutcome> {
    return new Promise((resolve) => {
      this.waiting.push({ question, settle: resolve });
      if (this.waiting.length >= this.most) this.send();
      else this.timer ??= setTimeout(() => this.send(), this.delayMs);
    });
  }

  private send(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    const batch = this.waiting;
    this.waiting = [];
    void this.askAll(batch.map((entry) => entry.question)).then((answers) => {
      batch.forEach((entry, index) => entry.settle(answers[index] as CallOutcome));
    });
  }
}
