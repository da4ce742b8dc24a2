/** The form of a claim in the key-value store. No state; also read by those who ask who holds a shard. */
import type { ClaimHolder } from './claim-decisions.js';

interface StoredClaim {
  /** The controller. */
  readonly n: string;
  /** Its process. */
  readonly i: string;
}

/** Writes a claim as it is stored. */
export const writeClaim = (claim: ClaimHolder): StoredClaim => ({ n: claim.node, i: claim.incarnation });

/** Reads a stored claim. */
export const readClaim = (value: unknown): ClaimHolder => {
  const stored = value as StoredClaim;
  return { node: stored.n, incarnation: stored.i };
};
