/** Tests until when the holder of a shard may answer its workers in an outage of the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { outageGraceUntil } from './outage-grace.js';

const rows: readonly {
  name: string;
  confirmed: boolean;
  onlyAcknowledgedConfirmed: boolean;
  until: number | null;
}[] = [
  { name: 'no outage', confirmed: false, onlyAcknowledgedConfirmed: true, until: null },
  // The holder knows every cancellation confirmed before 1,000 ms. The tasks of a cancellation confirmed
  // later must stop within 44 s, of which 24 s are the lease of the workers and 5 s are margin.
  {
    name: 'another controller may confirm a cancellation that the holder does not know',
    confirmed: true,
    onlyAcknowledgedConfirmed: false,
    until: 16_000,
  },
  {
    name: 'every controller confirms only cancellations that the holder has acknowledged',
    confirmed: true,
    onlyAcknowledgedConfirmed: true,
    until: Number.POSITIVE_INFINITY,
  },
];
for (const row of rows) {
  test(`outage grace: ${row.name}`, () =>
    assert.equal(
      outageGraceUntil({
        ...row,
        confirmedAt: 1_000,
        cancellationLimitMs: 44_000,
        workerLeaseMs: 24_000,
        marginMs: 5_000,
      }),
      row.until,
    ));
}
