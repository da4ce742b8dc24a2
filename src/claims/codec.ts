import type { ClaimHolder } from './claim-decisions.js';

/** Claims as they are stored in the state service. */

interface StoredClaim {
  readonly n: string;
  readonly i: string;
}

/** Writes a claim as it is stored. */
export const writeClaim = (claim: ClaimHolder): StoredClaim => ({ n: claim.node, i: claim.incarnation });

/** Reads a stored claim. */
export const readClaim = (value: unknown): ClaimHolder => {
  const stored = value as StoredClaim;
  return { node: stored.n, incarnation: stored.i };
};
