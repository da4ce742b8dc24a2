/**
 * Fencing tokens. A token is the revision at which the state service recorded the present claim on a duty:
 * it belongs to one process, and each change of holder gives a higher one.
 *
 * State: a {@link TokenRegister} owns the highest token seen for each claim.
 */

declare const fencingToken: unique symbol;

/** A checked fencing token; only {@link parseToken} makes one from plain data. */
export type FencingToken = number & { readonly [fencingToken]: true };

/** The outcome of reading a token from a message or a stored value. */
export type ParsedToken =
  | { readonly _tag: 'token'; readonly token: FencingToken }
  | { readonly _tag: 'invalid'; readonly field: string; readonly reason: string };

/** Reads a token: a positive integer that a double holds exactly. */
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
 * The revision of a claim as a token. Revisions come from the state service, so a malformed one is a defect:
 * throws a RangeError.
 */
export const tokenOf = (revision: number): FencingToken => {
  const parsed = parseToken(revision, 'revision');
  if (parsed._tag === 'invalid') throw new RangeError(parsed.reason);
  return parsed.token;
};

/** Whether an order that carries a token may be carried out. */
export type TokenCheck =
  { readonly _tag: 'accepted' } | { readonly _tag: 'stale'; readonly current: FencingToken };

/** What a receiver remembers: the highest token that it has seen for each claim. */
export class TokenRegister {
  private readonly highest = new Map<string, FencingToken>();

  /** Notes a token that was seen; lower ones than before change nothing. */
  note(claim: string, token: FencingToken): void {
    const before = this.highest.get(claim);
    if (before === undefined || token > before) this.highest.set(claim, token);
  }

  /** Refuses a token below the highest one seen, and remembers a higher one. */
  check(claim: string, token: FencingToken): TokenCheck {
    const current = this.highest.get(claim);
    if (current !== undefined && token < current) return { _tag: 'stale', current };
    this.note(claim, token);
    return { _tag: 'accepted' };
  }

  /** The highest token seen for a claim; undefined: none. */
  current(claim: string): FencingToken | undefined {
    return this.highest.get(claim);
  }
}
