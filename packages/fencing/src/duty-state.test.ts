/** The transitions of a duty's state, one row each. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextDutyState, type DutyEvent, type DutyState } from './duty-state.js';
import { tokenOf } from './token.js';

const first = tokenOf(5);
const second = tokenOf(9);
const open = 0;
const idle: DutyState = { _tag: 'idle' };

/** The one transition function, row by row. */
const rows: readonly { name: string; from: DutyState; event: DutyEvent; to: DutyState }[] = [
  {
    name: 'a claim begins with settling what was left open',
    from: idle,
    event: { _tag: 'claimed', token: first },
    to: { _tag: 'acquiring', token: first, open },
  },
  {
    name: 'settled: the one current holder',
    from: { _tag: 'acquiring', token: first, open: 1 },
    event: { _tag: 'settled', token: first },
    to: { _tag: 'held', token: first, open: 1 },
  },
  {
    name: 'settled under an earlier token says nothing about the present one',
    from: { _tag: 'acquiring', token: second, open },
    event: { _tag: 'settled', token: first },
    to: { _tag: 'acquiring', token: second, open },
  },
  {
    name: 'a claim that is shown late does not lower the token',
    from: { _tag: 'held', token: second, open },
    event: { _tag: 'claimed', token: first },
    to: { _tag: 'held', token: second, open },
  },
  {
    name: 'regained by the same process: a new tenure, whose open effects are none',
    from: { _tag: 'lost', token: first, open: 2 },
    event: { _tag: 'claimed', token: second },
    to: { _tag: 'acquiring', token: second, open: 0 },
  },
  {
    name: 'an effect of the earlier tenure that ends does not count for the present one',
    from: { _tag: 'held', token: second, open: 1 },
    event: { _tag: 'effectEnded', token: first },
    to: { _tag: 'held', token: second, open: 1 },
  },
  {
    name: 'the lease is in doubt: nothing begins',
    from: { _tag: 'held', token: first, open: 1 },
    event: { _tag: 'suspended' },
    to: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
  },
  {
    name: 'renewed after all: held again, since nobody else can have acted under the same claim',
    from: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
    event: { _tag: 'restored' },
    to: { _tag: 'held', token: first, open: 1 },
  },
  {
    name: 'in doubt before everything was settled: that is still to be done',
    from: { _tag: 'acquiring', token: first, open },
    event: { _tag: 'suspended' },
    to: { _tag: 'draining', token: first, open, resumeAs: 'acquiring' },
  },
  {
    name: 'and is, once the lease is renewed',
    from: { _tag: 'draining', token: first, open, resumeAs: 'acquiring' },
    event: { _tag: 'restored' },
    to: { _tag: 'acquiring', token: first, open },
  },
  {
    name: 'settled while the lease is in doubt does not count',
    from: { _tag: 'draining', token: first, open, resumeAs: 'acquiring' },
    event: { _tag: 'settled', token: first },
    to: { _tag: 'draining', token: first, open, resumeAs: 'acquiring' },
  },
  {
    name: 'a duty that is held is not restored',
    from: { _tag: 'held', token: first, open },
    event: { _tag: 'restored' },
    to: { _tag: 'held', token: first, open },
  },
  {
    name: 'the claim is gone while calls are under way',
    from: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
    event: { _tag: 'released' },
    to: { _tag: 'lost', token: first, open: 1 },
  },
  {
    name: 'the claim is gone with nothing under way',
    from: { _tag: 'held', token: first, open },
    event: { _tag: 'released' },
    to: idle,
  },
  {
    name: 'the last call under way ends',
    from: { _tag: 'lost', token: first, open: 1 },
    event: { _tag: 'effectEnded', token: first },
    to: idle,
  },
  { name: 'idle stays idle', from: idle, event: { _tag: 'suspended' }, to: idle },
];
for (const row of rows) {
  test(`duty state: ${row.name}`, () => assert.deepEqual(nextDutyState(row.from, row.event), row.to));
}
