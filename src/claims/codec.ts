import type { Claim } from './claim-decisions.js';

/** Claims as they are stored in the state service. */

interface StoredClaim {
  readonly n: string;
  readonly i: string;
}

/** Writes a claim as it is stored. */
export const writeClaim = (claim: Claim): StoredClaim => ({ n: claim.node, i: claim.incarnation });

/** Reads a stored claim. */
export const readClaim = (value: unknown): Claim => {
  const stored = value as StoredClaim;
  return { node: stored.n, incarnation: stored.i };
};
