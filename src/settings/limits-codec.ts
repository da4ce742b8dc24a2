/**
 * Converts the limits of the key-value store from the names of the settings file to the names used in the
 * code. Owns no state; called once at start.
 */
import type { Settings } from './schema.js';

/** Limits of the key-value store, which all controllers together must not exceed. */
export interface StoreLimits {
  readonly requestsPerSecond: number;
  readonly changesPerSecond: number;
  /** Maximum size of a value, in KB. */
  readonly valueKb: number;
  readonly maxTransactionWrites: number;
}

/** For each limit, the smaller of the current value and the announced one. */
export const effectiveLimits = (state: Settings['facts']['state']): StoreLimits => {
  const next = state.next ?? {};
  return {
    requestsPerSecond: Math.min(state.rps, next.rps ?? state.rps),
    changesPerSecond: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
    valueKb: Math.min(state.value_kb, next.value_kb ?? state.value_kb),
    maxTransactionWrites: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
  };
};
