/** The transitions of a duty's state, one row each. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextDutyState, type DutyEvent, type DutyState } from './duty-state.js';
import { tokenOf } from './token.js';

const first = tokenOf(5);
const second = tokenOf(9);
const open = 0;
const idle: DutyState = { _tag: 'idle' };

const rows: readonly { name: string; from: DutyState; event: DutyEvent; to: DutyState }[] = [
  {
    name: 'a claim starts with settling what earlier holders left open',
    from: idle,
    event: { _tag: 'claimed', token: first },
    to: { _tag: 'acquiring', token: first, open },
  },
  {
    name: 'settled: the process becomes the current holder',
    from: { _tag: 'acquiring', token: first, open: 1 },
    event: { _tag: 'settled', token: first },
    to: { _tag: 'held', token: first, open: 1 },
  },
  {
    name: 'settled under an earlier token does not count for the current one',
    from: { _tag: 'acquiring', token: second, open },
    event: { _tag: 'settled', token: first },
    to: { _tag: 'acquiring', token: second, open },
  },
  {
    name: 'an outdated claim does not lower the token',
    from: { _tag: 'held', token: second, open },
    event: { _tag: 'claimed', token: first },
    to: { _tag: 'held', token: second, open },
  },
  {
    name: 'regained by the same process: a new tenure without open effects',
    from: { _tag: 'lost', token: first, open: 2 },
    event: { _tag: 'claimed', token: second },
    to: { _tag: 'acquiring', token: second, open: 0 },
  },
  {
    name: 'an effect of an earlier tenure that ends does not count for the current one',
    from: { _tag: 'held', token: second, open: 1 },
    event: { _tag: 'effectEnded', token: first },
    to: { _tag: 'held', token: second, open: 1 },
  },
  {
    name: 'the lease is in doubt: the duty drains',
    from: { _tag: 'held', token: first, open: 1 },
    event: { _tag: 'suspended' },
    to: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
  },
  {
    name: 'renewed: held again, since no other process can have acted under the same claim',
    from: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
    event: { _tag: 'restored' },
    to: { _tag: 'held', token: first, open: 1 },
  },
  {
    name: 'the lease is in doubt before everything was settled: settling remains to be done',
    from: { _tag: 'acquiring', token: first, open },
    event: { _tag: 'suspended' },
    to: { _tag: 'draining', token: first, open, resumeAs: 'acquiring' },
  },
  {
    name: 'renewed before everything was settled: settling continues',
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
    name: 'the claim is lost while calls are in flight',
    from: { _tag: 'draining', token: first, open: 1, resumeAs: 'held' },
    event: { _tag: 'released' },
    to: { _tag: 'lost', token: first, open: 1 },
  },
  {
    name: 'the claim is lost with no call in flight',
    from: { _tag: 'held', token: first, open },
    event: { _tag: 'released' },
    to: idle,
  },
  {
    name: 'the last call in flight ends',
    from: { _tag: 'lost', token: first, open: 1 },
    event: { _tag: 'effectEnded', token: first },
    to: idle,
  },
  { name: 'idle stays idle', from: idle, event: { _tag: 'suspended' }, to: idle },
];
for (const row of rows) {
  test(`duty state: ${row.name}`, () => assert.deepEqual(nextDutyState(row.from, row.event), row.to));
}
