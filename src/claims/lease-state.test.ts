/** Tests the state to which each event leads, and the time until which the controller may act. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { leaseDeadline, mayAct, nextLeaseState, type LeaseState, type LeaseEvent } from './lease-state.js';

const TTL_MS = 5_000;
const holding = (sentAt: number): LeaseState => ({
  _tag: 'holding',
  lease: 7,
  until: leaseDeadline(sentAt, TTL_MS),
});

const transitions: readonly {
  name: string;
  from: LeaseState;
  event: LeaseEvent;
  to: string;
  actsAt?: number;
  acts?: boolean;
}[] = [
  {
    name: 'a grant leads to the state holding',
    from: { _tag: 'detached' },
    event: { _tag: 'granted', lease: 7, sentAt: 0 },
    to: 'holding',
  },
  {
    name: 'the deadline after a renewal counts from the time at which the renewal was sent',
    from: holding(0),
    event: { _tag: 'renewed', lease: 7, sentAt: 1_000 },
    to: 'holding',
    actsAt: 5_600,
    acts: true,
  },
  {
    name: 'without a renewal the lease is suspended shortly before it expires',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: null },
    to: 'suspended',
    actsAt: 4_800,
    acts: false,
  },
  {
    name: 'a suspended lease stays suspended in an outage for all controllers',
    from: { _tag: 'suspended', lease: 7 },
    event: { _tag: 'tick', now: 1, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'suspended',
  },
  {
    name: 'an outage for most controllers starts the grace period',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'outageGrace',
    actsAt: 5_500,
    acts: true,
  },
  // A cancellation that this controller does not know of may have been confirmed to a user. The leases of the
  // workers must still expire within the cancellation limit.
  {
    name: 'the grace period lasts no longer than cancellations unknown to this controller allow',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: 5_000 },
    to: 'outageGrace',
    actsAt: 5_001,
    acts: false,
  },
  {
    name: 'the grace period ends early when its bound changes to a time in the past',
    from: { _tag: 'outageGrace', lease: 7, until: 9_000 },
    event: { _tag: 'tick', now: 8_000, outageGraceUntil: 7_900 },
    to: 'suspended',
  },
  {
    name: 'the bound on the grace period does not shorten a lease that certainly lasts',
    from: holding(0),
    event: { _tag: 'tick', now: 1_000, outageGraceUntil: -5_000 },
    to: 'holding',
    actsAt: 4_600,
    acts: true,
  },
  {
    name: 'the grace period ends soon after the other controllers can reach the store again',
    from: { _tag: 'outageGrace', lease: 7, until: 9_000 },
    event: { _tag: 'tick', now: 9_001, outageGraceUntil: null },
    to: 'suspended',
  },
  {
    name: 'a renewal ends a suspension',
    from: { _tag: 'suspended', lease: 7 },
    event: { _tag: 'renewed', lease: 7, sentAt: 10 },
    to: 'holding',
  },
  {
    name: 'a late renewal of an earlier lease changes nothing',
    from: { _tag: 'detached' },
    event: { _tag: 'renewed', lease: 7, sentAt: 10 },
    to: 'detached',
  },
  {
    name: 'the end of the current lease leads to the state detached',
    from: holding(0),
    event: { _tag: 'ended', lease: 7 },
    to: 'detached',
  },
  {
    name: 'the end of an earlier lease changes nothing',
    from: holding(0),
    event: { _tag: 'ended', lease: 6 },
    to: 'holding',
  },
];

for (const row of transitions) {
  test(`lease: ${row.name}`, () => {
    const after = nextLeaseState(row.from, row.event, TTL_MS);
    assert.equal(after._tag, row.to);
    if (row.actsAt !== undefined) assert.equal(mayAct(after, row.actsAt), row.acts);
  });
}
