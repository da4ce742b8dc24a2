/**
 * Tests that run records fit the smallest limits of the key-value store and are read as they were written.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { bytesOf, SMALLEST_TRANSACTION, SMALLEST_VALUE_BYTES } from '../testing/smallest-limits.js';
import { partCountOf, readRunRecord, encodeRun } from './run-codec.js';
import type { RunRecord } from './run-records.js';

const runs: readonly { name: string; record: RunRecord }[] = [
  {
    name: 'each task on a machine of its own, the last chunk of the largest job',
    record: {
      done: Array.from({ length: 32 }, (_, k) => 99_840 + k),
      bindings: Array.from({ length: 128 }, (_, k) => ({
        index: 99_840 + k,
        machine: `i-${String(k * 7_919).padStart(9, '0')}`,
        attempt: 900 + (k % 3),
      })),
      attempt: 902,
    },
  },
  {
    name: 'eight on each machine',
    record: {
      done: [],
      bindings: Array.from({ length: 128 }, (_, k) => ({
        index: 99_840 + k,
        machine: `i-${String(k >> 3).padStart(6, '0')}`,
        attempt: 1,
      })),
      attempt: 1,
    },
  },
];
for (const row of runs) {
  test(`run record limits: ${row.name}`, () => {
    const { record, parts } = encodeRun(row.record, 780, SMALLEST_VALUE_BYTES * VALUE_FILL_FRACTION, true);
    for (const value of [record, ...parts])
      assert.ok(bytesOf(value) <= SMALLEST_VALUE_BYTES, `${bytesOf(value)} B`);
    assert.equal(partCountOf(record), parts.length);
    assert.ok(1 + parts.length <= SMALLEST_TRANSACTION);
    assert.deepEqual(readRunRecord(JSON.parse(JSON.stringify(record)), 780, parts), row.record);
  });
}
