/**
 * Reads and writes claims in the form in which the key-value store holds them. No state; also used by modules
 * that look up the holder of a shard.
 */
import type { ClaimHolder } from './claim-decisions.js';

interface StoredClaim {
  /** The name of the controller that holds the claim. */
  readonly n: string;
  /** The incarnation of the controller's process. */
  readonly i: string;
}

/** Writes a claim in its stored form. */
export const writeClaim = (claim: ClaimHolder): StoredClaim => ({ n: claim.node, i: claim.incarnation });

/** Reads a claim from its stored form. */
export const readClaim = (value: unknown): ClaimHolder => {
  const stored = value as StoredClaim;
  return { node: stored.n, incarnation: stored.i };
};
