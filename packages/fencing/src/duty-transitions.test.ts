/**
 * Every event in every state of a duty: an event that does not belong to the state, or names an earlier
 * token, changes nothing.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextDutyState, type DutyEvent, type DutyState } from './duty-state.js';
import { tokenOf } from './token.js';

const earlier = tokenOf(3);
const token = tokenOf(5);
const later = tokenOf(9);

type Tag = DutyState['_tag'];
const states: Readonly<Record<Tag, DutyState>> = {
  idle: { _tag: 'idle' },
  acquiring: { _tag: 'acquiring', token, open: 1 },
  held: { _tag: 'held', token, open: 1 },
  draining: { _tag: 'draining', token, open: 1, resumeAs: 'held' },
  lost: { _tag: 'lost', token, open: 1 },
};
const unchanged: Readonly<Record<Tag, Tag>> = {
  idle: 'idle',
  acquiring: 'acquiring',
  held: 'held',
  draining: 'draining',
  lost: 'lost',
};
const acquiring: Readonly<Record<Tag, Tag>> = {
  idle: 'acquiring',
  acquiring: 'acquiring',
  held: 'acquiring',
  draining: 'acquiring',
  lost: 'acquiring',
};

const rows: readonly { name: string; event: DutyEvent; to: Readonly<Record<Tag, Tag>> }[] = [
  { name: 'claimed, later token', event: { _tag: 'claimed', token: later }, to: acquiring },
  {
    name: 'claimed, same token',
    event: { _tag: 'claimed', token },
    to: { ...unchanged, idle: 'acquiring' },
  },
  {
    name: 'claimed, earlier token',
    event: { _tag: 'claimed', token: earlier },
    to: { ...unchanged, idle: 'acquiring' },
  },
  { name: 'settled', event: { _tag: 'settled', token }, to: { ...unchanged, acquiring: 'held' } },
  { name: 'settled, earlier token', event: { _tag: 'settled', token: earlier }, to: unchanged },
  {
    name: 'suspended',
    event: { _tag: 'suspended' },
    to: { ...unchanged, acquiring: 'draining', held: 'draining' },
  },
  { name: 'restored', event: { _tag: 'restored' }, to: { ...unchanged, draining: 'held' } },
  {
    name: 'released',
    event: { _tag: 'released' },
    to: { idle: 'idle', acquiring: 'lost', held: 'lost', draining: 'lost', lost: 'lost' },
  },
  { name: 'effect begun', event: { _tag: 'effectBegun', token }, to: unchanged },
  { name: 'effect ended', event: { _tag: 'effectEnded', token }, to: { ...unchanged, lost: 'idle' } },
  { name: 'effect ended, earlier token', event: { _tag: 'effectEnded', token: earlier }, to: unchanged },
];
for (const { name, event, to } of rows) {
  for (const from of Object.keys(states) as Tag[])
    test(`duty: ${name} in state ${from} leads to ${to[from]}`, () => {
      assert.equal(nextDutyState(states[from], event)._tag, to[from]);
    });
}
