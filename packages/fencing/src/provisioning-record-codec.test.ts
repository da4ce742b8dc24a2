/** The stored record is read back as written; malformed entries are kept apart and never acted on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readProvisioningRecord, writeProvisioningRecord } from './provisioning-record-codec.js';
import { EMPTY_PROVISIONING_RECORD } from './provisioning-record.js';
import { provisioningIntent } from './testing/provisioning-intent.js';
import { tokenOf } from './token.js';

const token = tokenOf(5);
/** bytes: room for every record of these tests. */
const MAX_BYTES = 16 * 1024;

const good = { n: 'r-1-1', b: 'g8', z: 'a', p: false, s: [0], a: 1 };
const malformed: readonly { name: string; value: unknown; open: number; keptApart: number }[] = [
  { name: 'not an object', value: 'x', open: 0, keptApart: 1 },
  { name: 'no token', value: { o: [good] }, open: 0, keptApart: 1 },
  { name: 'a token that is not an integer', value: { t: 1.5, o: [good] }, open: 0, keptApart: 1 },
  {
    name: 'entries without names or counts',
    value: { t: 1, o: [good, { ...good, n: '' }, { ...good, s: [] }, 3] },
    open: 1,
    keptApart: 3,
  },
  {
    name: 'a shard that is not a number',
    value: { t: 1, o: [{ ...good, s: ['0'] }] },
    open: 0,
    keptApart: 1,
  },
];
for (const row of malformed) {
  test(`provisioning record, malformed: ${row.name}`, () => {
    const record = readProvisioningRecord(row.value);
    assert.equal(record.open.length, row.open);
    assert.equal(record.malformed.length, row.keptApart, 'kept apart, never acted on');
    assert.equal(
      readProvisioningRecord(writeProvisioningRecord(record, token, MAX_BYTES)).malformed.length,
      row.keptApart,
      'still kept after a write',
    );
  });
}

test('provisioning record: written and read back, with the maximum number of outcomes', () => {
  const settled = Array.from({ length: 24 }, (_, n) => ({
    name: `r-1-${n}`,
    outcome: 'rented' as const,
    machines: 1,
    at: n,
  }));
  const record = { ...EMPTY_PROVISIONING_RECORD, token, open: [provisioningIntent('r-5-1')], settled };
  assert.deepEqual(
    readProvisioningRecord(JSON.parse(JSON.stringify(writeProvisioningRecord(record, token, MAX_BYTES)))),
    record,
  );
});
