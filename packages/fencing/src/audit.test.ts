/** The audit lists who held what, within bounds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DutyAudit } from './audit.js';
import { tokenOf } from './token.js';

test('audit: bounded, and says who held what until when', () => {
  let now = 0;
  const audit = new DutyAudit(() => now);
  audit.recordHolder('L', tokenOf(1), 'a', 'a1');
  audit.recordHolder('L', tokenOf(1), 'a', 'a1');
  now = 50;
  audit.recordHolder('L', tokenOf(2), 'b', 'b1');
  now = 70;
  audit.recordHolderEnd('L', 'lease ended');
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
