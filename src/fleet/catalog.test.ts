/** Catalogs fit the smallest limits of the key-value store, and are read as they were written. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import type { StoredEntry } from '../kv-store/model.js';
import {
  bytesOf,
  longMachineTypes,
  SMALLEST_TRANSACTION,
  SMALLEST_VALUE_BYTES,
} from '../testing/smallest-limits.js';
import { readStoredTypes, catalogWrites } from './catalog.js';

for (const count of [1, 40]) {
  test(`catalog limits: ${count} types`, () => {
    const writes = catalogWrites(
      longMachineTypes(count),
      SMALLEST_VALUE_BYTES * VALUE_FILL_FRACTION,
      SMALLEST_TRANSACTION,
      true,
    );
    assert.ok(writes !== null && writes.length <= SMALLEST_TRANSACTION);
    const items = new Map<string, StoredEntry>();
    for (const write of writes) {
      assert.ok(write._tag === 'put' && bytesOf(write.value) <= SMALLEST_VALUE_BYTES);
      items.set(write.key, { key: write.key, value: write.value, version: 7 });
    }
    const whole = items.get('w/catalog');
    assert.ok(whole);
    assert.deepEqual(
      readStoredTypes(whole, (key) => items.get(key)),
      longMachineTypes(count),
    );
    // A part of another version is not read.
    const earlierPart = (key: string): StoredEntry | undefined => {
      const item = items.get(key);
      return item && { ...item, version: 6 };
    };
    assert.equal(readStoredTypes(whole, earlierPart) === null, count > 1);
  });
}
