import type { Settings } from './schema.js';

/**
 * The state service's limits that the service keeps within: the smaller of those of now and those to come.
 */
export interface StateLimits {
  readonly rps: number;
  readonly write_rps: number;
  readonly value_kb: number;
  readonly txn_ops: number;
}

/** The limits that hold now and after the announced change. */
export const effectiveLimits = (state: Settings['facts']['state']): StateLimits => {
  const next = state.next ?? {};
  return {
    rps: Math.min(state.rps, next.rps ?? state.rps),
    write_rps: Math.min(state.write_rps, next.write_rps ?? state.write_rps),
    value_kb: Math.min(state.value_kb, next.value_kb ?? state.value_kb),
    txn_ops: Math.min(state.txn_ops, next.txn_ops ?? state.txn_ops),
  };
};
