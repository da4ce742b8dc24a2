/** Until when a holder may answer its workers in an outage. */
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
  // Known at 1,000: what is confirmed later has 44 s, of which 24 are the lease of the workers and 5 margin.
  {
    name: 'somebody may confirm what the holder does not know',
    confirmed: true,
    onlyAcknowledgedConfirmed: false,
    until: 16_000,
  },
  {
    name: 'everybody confirms only what it has acknowledged',
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
