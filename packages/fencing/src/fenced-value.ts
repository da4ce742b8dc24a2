/**
 * The port through which this package reads and writes a value in the state service that only the holder of
 * a claim may write. The application implements it over its key-value store.
 */
import type { FencingToken } from './token.js';

/** A value of the state service with its revision; revision 0: there is none yet. */
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
  /** The claim is not at this token any more: another holds the duty. */
  | { readonly _tag: 'claimLost' }
  /** The value, or something removed with it, has another revision. */
  | { readonly _tag: 'changed'; readonly keys: readonly string[] }
  /** Certainly not carried out. */
  | { readonly _tag: 'notCarriedOut'; readonly reason: string }
  /** No answer: it was carried out, or may be later, or never. */
  | { readonly _tag: 'unanswered'; readonly reason: string };

/** A key that is removed together with a write, at the revision that was read. */
export interface Removal {
  readonly key: string;
  readonly revision: number;
}

/** One value in the state service that only the holder of a claim may write. */
export interface FencedValue {
  readonly read: () => Promise<ReadOutcome>;
  readonly write: (
    value: unknown,
    revision: number,
    token: FencingToken,
    removals?: readonly Removal[],
  ) => Promise<WriteOutcome>;
}
