/** Batches questions that come close together. Owns the questions that wait; any module may use it. */

interface WaitingQuestion<Question, Answer> {
  readonly question: Question;
  readonly resolve: (answer: Answer) => void;
}

/**
 * Questions that come close together are asked together: the first waits a moment for others, then one call
 * answers all. An answer is always younger than its question.
 */
export class Batcher<Question, Answer> {
  private waiting: WaitingQuestion<Question, Answer>[] = [];
  private timer: ReturnType<typeof setTimeout> | null = null;

  constructor(
    /** ms for which the first question waits for others. */
    private readonly delayMs: number,
    /** Questions that are asked together at most. */
    private readonly maxBatchSize: number,
    /** Answers in the order of the questions; must not reject. */
    private readonly askAll: (questions: readonly Question[]) => Promise<readonly Answer[]>,
  ) {}

  /** Asks a question together with those that come close to it. */
  submit(question: Question): Promise<Answer> {
    return new Promise((resolve) => {
      this.waiting.push({ question, resolve });
      if (this.waiting.length >= this.maxBatchSize) this.send();
      else this.timer ??= setTimeout(() => this.send(), this.delayMs);
    });
  }

  private send(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    const batch = this.waiting;
    this.waiting = [];
    void this.askAll(batch.map(({ question }) => question)).then((answers) => {
      batch.forEach(({ resolve }, index) => resolve(answers[index] as Answer));
    });
  }
}
