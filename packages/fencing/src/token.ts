/**
 * Fencing tokens. A token is the revision at which the key-value store recorded the current claim on a duty:
 * it belongs to one process, and each change of holder results in a higher token.
 *
 * State: a {@link TokenRegister} owns the highest token seen for each claim.
 */

declare const fencingToken: unique symbol;

/** A validated fencing token; only {@link parseToken} creates one from plain data. */
export type FencingToken = number & { readonly [fencingToken]: true };

/** The outcome of reading a token from a message or a stored value. */
export type ParsedToken =
  | { readonly _tag: 'token'; readonly token: FencingToken }
  | { readonly _tag: 'invalid'; readonly field: string; readonly reason: string };

/** Reads a token: a positive integer that a double represents exactly. */
export const parseToken = (value: unknown, field: string): ParsedToken => {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 1) {
    return {
      _tag: 'invalid',
      field,
      reason: `${field} must be an integer from 1 to ${Number.MAX_SAFE_INTEGER}`,
    };
  }
  return { _tag: 'token', token: value as FencingToken };
};

/**
 * Returns the revision of a claim as a token. Revisions come from the key-value store, so a malformed one is
 * a defect: throws a RangeError.
 */
export const tokenOf = (revision: number): FencingToken => {
  const parsed = parseToken(revision, 'revision');
  if (parsed._tag === 'invalid') throw new RangeError(parsed.reason);
  return parsed.token;
};

/** Whether an order that carries a token may be carried out. */
export type TokenCheck =
  { readonly _tag: 'accepted' } | { readonly _tag: 'stale'; readonly current: FencingToken };

/** The highest token that a receiver has seen for each claim. */
export class TokenRegister {
  private readonly highest = new Map<string, FencingToken>();

  /** Records a token that was seen; a token that is not higher than the recorded one changes nothing. */
  note(claim: string, token: FencingToken): void {
    const before = this.highest.get(claim);
    if (before === undefined || token > before) this.highest.set(claim, token);
  }

  /** Refuses a token below the highest one seen, and records a higher one. */
  check(claim: string, token: FencingToken): TokenCheck {
    const current = this.highest.get(claim);
    if (current !== undefined && token < current) return { _tag: 'stale', current };
    this.note(claim, token);
    return { _tag: 'accepted' };
  }

  /** Returns the highest token seen for a claim; undefined if there is none. */
  current(claim: string): FencingToken | undefined {
    return this.highest.get(claim);
  }
}
