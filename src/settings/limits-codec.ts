/**
 * The key-value store's limits, read from the settings in the service's own terms. Owns no state; called once
 * at start.
 */
import type { Settings } from './schema.js';

/** What all controllers together may ask of the key-value store. */
export interface StoreLimits {
  readonly requestsPerSecond: number;
  readonly changesPerSecond: number;
  /** KB: the size of a value. */
  readonly valueKb: number;
  readonly maxTransactionWrites: number;
}

/** The limits that hold now and after the announced change: the smaller of the two. */
export const effectiveLimits = (state: Settings['facts']['state']): StoreLimits => {
  const next = state.next ?? {};
  return {
    requestsPerSecond: Math.min(state.rps, next.rps ?? state.rps),
    changesPerSecond: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
    valueKb: Math.min(state.value_kb, next.value_kb ?? state.value_kb),
    maxTransactionWrites: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
  };
};
