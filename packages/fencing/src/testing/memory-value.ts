/**
 * A fenced value in memory: the tests' stand-in for the state service.
 *
 * State: a {@link MemoryValue} owns the value, the keys beside it and delayed writes. A test sets the
 * claim, the keys, and how the next write goes.
 */
import type { FencedValue, ReadOutcome, Removal, VersionedValue, WriteOutcome } from '../fenced-value.js';
import type { FencingToken } from '../token.js';

/** How the next write goes. */
export type NextWrite =
  | 'normal'
  /** Carried out, and the answer is lost. */
  | 'answer lost'
  /** Not carried out now, but when {@link MemoryValue.deliverLate} is called; no answer. */
  | 'late'
  /** Answered 503. */
  | 'refused';

/** A fenced value in memory, with other keys beside it. */
export class MemoryValue implements FencedValue {
  /** The stored value. */
  entry: VersionedValue = { value: null, revision: 0 };
  /** Revisions of the keys beside it. */
  readonly otherKeys = new Map<string, number>();
  claim: FencingToken;
  nextWrite: NextWrite = 'normal';
  /** Writes that were applied. */
  writes = 0;
  private lastRevision = 100;
  private readonly delayedWrites: (() => WriteOutcome)[] = [];

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
    const how = this.nextWrite;
    this.nextWrite = 'normal';
    switch (how) {
      case 'normal':
        return Promise.resolve(apply());
      case 'answer lost':
        apply();
        return Promise.resolve({ _tag: 'unanswered', reason: 'timeout' });
      case 'late':
        this.delayedWrites.push(apply);
        return Promise.resolve({ _tag: 'unanswered', reason: 'timeout' });
      case 'refused':
        return Promise.resolve({ _tag: 'notCarriedOut', reason: 'status 503' });
    }
  };

  /** Applies delayed writes. */
  applyDelayedWrites(): readonly WriteOutcome[] {
    return this.delayedWrites.splice(0).map((apply) => apply());
  }

  private apply(
    value: unknown,
    revision: number,
    token: FencingToken,
    removals: readonly Removal[],
  ): WriteOutcome {
    if (token !== this.claim) return { _tag: 'claimLost' };
    const changed = removals.filter((removal) => (this.otherKeys.get(removal.key) ?? 0) !== removal.revision);
    if (this.entry.revision !== revision || changed.length > 0)
      return { _tag: 'changed', keys: changed.map(({ key }) => key) };
    this.writes += 1;
    this.lastRevision += 1;
    this.entry = { value, revision: this.lastRevision };
    for (const { key } of removals) this.otherKeys.delete(key);
    return { _tag: 'written', revision: this.lastRevision };
  }
}
