/** A duty gives permits to its current holder only, and refuses effects once claim or lease are in doubt. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyAudit, type RefusalReason } from './audit.js';
import { Duty } from './duty.js';
import { tokenOf, type FencingToken } from './token.js';

/** A duty that is held under token 5, with its lease in the test's hands. */
const heldDuty = (enforceFencing = true) => {
  const audit = new DutyAudit(() => 1_000);
  const lease: { token: FencingToken | null } = { token: tokenOf(5) };
  const duty = new Duty({
    name: 'rent',
    claim: 'L',
    actingToken: () => lease.token,
    audit,
    enforceFencing,
  });
  duty.apply({ _tag: 'claimed', token: tokenOf(5) });
  duty.apply({ _tag: 'settled', token: tokenOf(5) });
  return { audit, lease, duty };
};

const rows: readonly {
  name: string;
  happens: (held: ReturnType<typeof heldDuty>) => void;
  proceeds: boolean;
  reason?: RefusalReason;
}[] = [
  { name: 'nothing happened', happens: () => undefined, proceeds: true },
  {
    name: 'the lease ran out while the effect waited',
    happens: ({ lease }) => (lease.token = null),
    proceeds: false,
    reason: 'lease in doubt',
  },
  {
    name: 'another process took the claim',
    happens: ({ lease, duty }) => {
      lease.token = null;
      duty.apply({ _tag: 'released' });
    },
    proceeds: false,
    reason: 'claim lost',
  },
  {
    name: 'lost and regained by the same process: its old call is still an old one',
    happens: ({ lease, duty }) => {
      duty.apply({ _tag: 'released' });
      lease.token = tokenOf(9);
      duty.apply({ _tag: 'claimed', token: tokenOf(9) });
      duty.apply({ _tag: 'settled', token: tokenOf(9) });
    },
    proceeds: false,
    reason: 'later token held',
  },
  {
    name: 'in doubt for a moment, and renewed under the same claim',
    happens: ({ lease, duty }) => {
      lease.token = null;
      duty.refresh();
      lease.token = tokenOf(5);
    },
    proceeds: true,
  },
];
for (const row of rows) {
  test(`permit: ${row.name}`, () => {
    const held = heldDuty();
    const permit = held.duty.begin('rental request');
    assert.ok(permit);
    row.happens(held);
    assert.equal(permit.mayProceed(), row.proceeds);
    assert.deepEqual(
      held.audit.listRefusals().map(({ reason, token, effect }) => ({ reason, token, effect })),
      row.reason === undefined ? [] : [{ reason: row.reason, token: 5, effect: 'rental request' }],
    );
    permit.end();
    permit.end();
  });
}

test('permit: where fencing is off a late effect is counted, and the effect goes out as before', () => {
  const { duty, lease, audit } = heldDuty(false);
  const permit = duty.begin('rental request');
  lease.token = null;
  assert.equal(permit?.mayProceed(), true);
  assert.equal(audit.refusalCount, 1);
});

test('duty: only the current holder begins, and only an acquiring one settles', () => {
  const { duty, lease } = heldDuty();
  assert.equal(duty.beginSettlement('settlement'), null);
  lease.token = null;
  assert.equal(duty.begin('rental request'), null);
  lease.token = tokenOf(5);
  assert.equal(duty.beginSettlement('settlement'), null);
  // Guards against a duty that nobody settles again: after an outage machines were neither adopted nor
  // returned.
  assert.ok(duty.begin('rental request'), 'held again under the same claim');
  lease.token = tokenOf(9);
  duty.apply({ _tag: 'claimed', token: tokenOf(9) });
  assert.equal(duty.begin('rental request'), null, 'what was left open is settled first');
  assert.ok(duty.beginSettlement('settlement'));
});
