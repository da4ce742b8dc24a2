/** A duty issues permits only to its current holder, and refuses effects once claim or lease are in doubt. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyAudit, type RefusalReason } from './audit.js';
import { Duty } from './duty.js';
import { tokenOf, type FencingToken } from './token.js';

/** Returns a duty that is held under token 5, with a lease that the test controls. */
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
  change: (held: ReturnType<typeof heldDuty>) => void;
  proceeds: boolean;
  reason?: RefusalReason;
}[] = [
  { name: 'nothing changed', change: () => undefined, proceeds: true },
  {
    name: 'the lease expired while the effect waited',
    change: ({ lease }) => (lease.token = null),
    proceeds: false,
    reason: 'lease in doubt',
  },
  {
    name: 'another process acquired the claim',
    change: ({ lease, duty }) => {
      lease.token = null;
      duty.apply({ _tag: 'released' });
    },
    proceeds: false,
    reason: 'claim lost',
  },
  {
    name: 'lost and regained by the same process: a call under the earlier token is refused',
    change: ({ lease, duty }) => {
      duty.apply({ _tag: 'released' });
      lease.token = tokenOf(9);
      duty.apply({ _tag: 'claimed', token: tokenOf(9) });
      duty.apply({ _tag: 'settled', token: tokenOf(9) });
    },
    proceeds: false,
    reason: 'later token held',
  },
  {
    name: 'the lease is in doubt for a moment, and renewed under the same claim',
    change: ({ lease, duty }) => {
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
    row.change(held);
    assert.equal(permit.mayProceed(), row.proceeds);
    assert.deepEqual(
      held.audit.listRefusals().map(({ reason, token, effect }) => ({ reason, token, effect })),
      row.reason === undefined ? [] : [{ reason: row.reason, token: 5, effect: 'rental request' }],
    );
    permit.end();
    permit.end();
  });
}

test('permit: with fencing off a late effect is counted, and carried out as before', () => {
  const { duty, lease, audit } = heldDuty(false);
  const permit = duty.begin('rental request');
  lease.token = null;
  assert.equal(permit?.mayProceed(), true);
  assert.equal(audit.refusalCount, 1);
});

test('duty: only a held duty begins effects, and only an acquiring one settles', () => {
  const { duty, lease } = heldDuty();
  assert.equal(duty.beginSettlement('settlement'), null);
  lease.token = null;
  assert.equal(duty.begin('rental request'), null);
  lease.token = tokenOf(5);
  assert.equal(duty.beginSettlement('settlement'), null);
  // Guards against a duty that is never settled again: after an outage machines were neither adopted nor
  // released.
  assert.ok(duty.begin('rental request'), 'held again under the same claim');
  lease.token = tokenOf(9);
  duty.apply({ _tag: 'claimed', token: tokenOf(9) });
  assert.equal(duty.begin('rental request'), null, 'open requests are settled first');
  assert.ok(duty.beginSettlement('settlement'));
});
