/**
 * The port through which this package reads and writes a value in the key-value store that only the holder of
 * a claim may write. The application implements it with its client of the key-value store.
 */
import type { FencingToken } from './token.js';

/** A value in the key-value store with its revision; revision 0 means that the key does not exist yet. */
export interface VersionedValue {
  readonly value: unknown;
  readonly revision: number;
}

/** The outcome of reading a value. */
export type ReadOutcome =
  | { readonly _tag: 'read'; readonly entry: VersionedValue }
  | { readonly _tag: 'unavailable'; readonly reason: string };

/** The outcome of a write that is conditional on a claim and on the value's revision. */
export type WriteOutcome =
  | { readonly _tag: 'written'; readonly revision: number }
  /** The claim no longer has this token: this process does not hold the duty any more. */
  | { readonly _tag: 'claimLost' }
  /** The value, or a key to be removed with it, has another revision. */
  | { readonly _tag: 'changed'; readonly keys: readonly string[] }
  /** The write was certainly not applied. */
  | { readonly _tag: 'notCarriedOut'; readonly reason: string }
  /** No answer was received: the write was applied, or may be applied later, or never. */
  | { readonly _tag: 'unanswered'; readonly reason: string };

/** A key to be removed together with a write, on the condition that it still has the revision read before. */
export interface Removal {
  readonly key: string;
  readonly revision: number;
}

/** One value in the key-value store that only the holder of a claim may write. */
export interface FencedValue {
  readonly read: () => Promise<ReadOutcome>;
  readonly write: (
    value: unknown,
    revision: number,
    token: FencingToken,
    removals?: readonly Removal[],
  ) => Promise<WriteOutcome>;
}
