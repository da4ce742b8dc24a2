import type { FencedValue, ReadOutcome, Removal, VersionedValue, WriteOutcome } from '../fenced-value.js';
import type { FencingToken } from '../token.js';

/** How the stand-in treats the next write. */
export type NextWrite =
  | 'normal'
  /** Carried out, and the answer is lost. */
  | 'answer lost'
  /** Not carried out now, but when {@link MemoryValue.deliverLate} is called; no answer. */
  | 'late'
  /** Answered 503. */
  | 'refused';

/** A fenced value in memory, with other keys beside it: a stand-in for the state service in tests. */
export class MemoryValue implements FencedValue {
  entry: VersionedValue = { value: null, revision: 0 };
  readonly others = new Map<string, number>();
  claim: FencingToken;
  next: NextWrite = 'normal';
  writes = 0;
  private epoch = 100;
  private readonly delayed: (() => WriteOutcome)[] = [];

  constructor(claim: FencingToken) {
    this.claim = claim;
  }

  readonly read = (): Promise<ReadOutcome> =>
    Promise.resolve({ _tag: 'read', entry: structuredClone(this.entry) });

  readonly write = (
    value: unknown,
    revision: number,
    token: FencingToken,
    removals: readonly Removal[] = [],
  ): Promise<WriteOutcome> => {
    const stored = structuredClone(value);
    const apply = (): WriteOutcome => this.apply(stored, revision, token, removals);
    const how = this.next;
    this.next = 'normal';
    switch (how) {
      case 'normal':
        return Promise.resolve(apply());
      case 'answer lost':
        apply();
        return Promise.resolve({ _tag: 'unanswered', reason: 'timeout' });
      case 'late':
        this.delayed.push(apply);
        return Promise.resolve({ _tag: 'unanswered', reason: 'timeout' });
      case 'refused':
        return Promise.resolve({ _tag: 'notCarriedOut', reason: 'status 503' });
    }
  };

  /** Applies writes that were held up. */
  deliverLate(): readonly WriteOutcome[] {
    return this.delayed.splice(0).map((apply) => apply());
  }

  private apply(
    value: unknown,
    revision: number,
    token: FencingToken,
    removals: readonly Removal[],
  ): WriteOutcome {
    if (token !== this.claim) return { _tag: 'claimLost' };
    const keys = removals.filter(({ key, revision: seen }) => (this.others.get(key) ?? 0) !== seen);
    if (this.entry.revision !== revision || keys.length > 0)
      return { _tag: 'changed', keys: keys.map(({ key }) => key) };
    this.writes += 1;
    this.epoch += 1;
    this.entry = { value, revision: this.epoch };
    for (const { key } of removals) this.others.delete(key);
    return { _tag: 'written', revision: this.epoch };
  }
}
