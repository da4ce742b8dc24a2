/**
 * A fenced value in memory, which replaces the key-value store in tests.
 *
 * State: a {@link MemoryValue} owns the value, other keys, and delayed writes. A test sets the claim, the
 * other keys, and how the next write behaves.
 */
import type { FencedValue, ReadOutcome, Removal, VersionedValue, WriteOutcome } from '../fenced-value.js';
import type { FencingToken } from '../token.js';

/** How the next write behaves. */
export type NextWrite =
  | 'normal'
  /** The write is applied, and its answer is lost. */
  | 'answer lost'
  /** The write is not answered, and applied when {@link MemoryValue.applyDelayedWrites} is called. */
  | 'late'
  /** The write is not applied, and answered with status 503. */
  | 'refused';

/** A fenced value in memory, with other keys that its writes may remove. */
export class MemoryValue implements FencedValue {
  /** The stored value. */
  entry: VersionedValue = { value: null, revision: 0 };
  /** Revisions of the other keys. */
  readonly otherKeys = new Map<string, number>();
  claim: FencingToken;
  nextWrite: NextWrite = 'normal';
  /** Number of writes that were applied. */
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
    const behavior = this.nextWrite;
    this.nextWrite = 'normal';
    switch (behavior) {
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

  /** Applies the delayed writes, and returns their outcomes. */
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
