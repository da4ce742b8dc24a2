/** Malformed stored tombstones are omitted when a record is read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readTombstoneRecord } from './tombstone-record-codec.js';

const KEY = 'r/0/job-1/0';

test('tombstone record: malformed tombstones are omitted, so their keys are not removed', () => {
  const good = { k: KEY, v: 3, r: 0, t: 5, a: 0 };
  const record = readTombstoneRecord({
    m: [good, { ...good, v: 'x' }, { ...good, t: 0 }, { ...good, r: 9 }, null],
    d: 7,
  });
  assert.equal(record.marked.length, 1);
  assert.deepEqual(record.removed, []);
  assert.deepEqual(readTombstoneRecord('x').marked, []);
});
