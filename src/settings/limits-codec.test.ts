/** Which limits of the key-value store hold when others are announced. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { effectiveLimits } from './limits-codec.js';

const cases: readonly { name: string; next: object | undefined; kb: number; ops: number; rate: number }[] = [
  { name: 'none to come', next: undefined, kb: 16, ops: 48, rate: 60 },
  {
    name: 'smaller ones to come',
    next: { value_kb: 2, txn_ops: 10, write_rps: 42 },
    kb: 2,
    ops: 10,
    rate: 42,
  },
  { name: 'only one of them named', next: { value_kb: 2 }, kb: 2, ops: 48, rate: 60 },
  {
    name: 'larger ones to come do not hold yet',
    next: { value_kb: 64, txn_ops: 99 },
    kb: 16,
    ops: 48,
    rate: 60,
  },
];
for (const row of cases) {
  test(`limits: ${row.name}`, () => {
    const state = { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 48 };
    const found = effectiveLimits(row.next ? { ...state, next: row.next } : state);
    assert.deepEqual(
      [found.valueKb, found.maxTransactionWrites, found.changesPerSecond, found.requestsPerSecond],
      [row.kb, row.ops, row.rate, 150],
    );
  });
}
