/** Permits are refused once the claim or the lease behind them is in doubt; tokens, receivers, audit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyAudit, type RefusalReason } from './audit.js';
import { Duty } from './duty.js';
import { parseToken, TokenRegister, tokenOf, type FencingToken } from './token.js';

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

const tokens: readonly { name: string; value: unknown; valid: boolean }[] = [
  { name: 'a revision', value: 7, valid: true },
  { name: 'the largest', value: Number.MAX_SAFE_INTEGER, valid: true },
  { name: 'none', value: undefined, valid: false },
  { name: 'text', value: '7', valid: false },
  { name: 'a fraction', value: 7.5, valid: false },
  { name: 'zero', value: 0, valid: false },
  { name: 'negative', value: -1, valid: false },
  { name: 'out of range', value: 2 ** 60, valid: false },
];
for (const row of tokens) {
  test(`token: ${row.name}`, () => {
    const parsed = parseToken(row.value, 'token');
    assert.equal(parsed._tag, row.valid ? 'token' : 'invalid');
    if (parsed._tag === 'invalid') assert.match(parsed.reason, /^token must be an integer from 1 to/);
  });
}

test('register: a receiver refuses below the highest token seen, for each claim by itself', () => {
  const register = new TokenRegister();
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'accepted' });
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'accepted' }, 'the same holder again');
  register.note('L', tokenOf(9));
  assert.deepEqual(register.check('L', tokenOf(5)), { _tag: 'stale', current: 9 });
  assert.deepEqual(register.check('0', tokenOf(2)), { _tag: 'accepted' });
  assert.equal(register.current('L'), 9);
});

test('audit: bounded, and says who held what until when', () => {
  let now = 0;
  const audit = new DutyAudit(() => now);
  audit.recordHolder('L', tokenOf(1), 'a', 'a1');
  audit.recordHolder('L', tokenOf(1), 'a', 'a1');
  now = 50;
  audit.recordHolder('L', tokenOf(2), 'b', 'b1');
  now = 70;
  audit.recordEnd('L', 'lease ended');
  assert.deepEqual(
    audit.listPeriods('L').map(({ node, from, to, ended }) => ({ node, from, to, ended })),
    [
      { node: 'a', from: 0, to: 50, ended: 'taken over' },
      { node: 'b', from: 50, to: 70, ended: 'lease ended' },
    ],
  );
  for (let token = 3; token < 1_000; token += 1) audit.recordHolder('L', tokenOf(token), 'a', 'a1');
  assert.ok(audit.listPeriods('L').length < 200);
});
