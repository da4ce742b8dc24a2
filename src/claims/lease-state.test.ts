/** The states of a lease: what each event leads to, and until when the controller may act. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { leaseDeadline, mayAct, nextLeaseState, type LeaseState, type LeaseEvent } from './lease-state.js';

const TTL = 5_000;
const holding = (sentAt: number): LeaseState => ({
  _tag: 'holding',
  lease: 7,
  until: leaseDeadline(sentAt, TTL),
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
    name: 'a grant starts holding',
    from: { _tag: 'detached' },
    event: { _tag: 'granted', lease: 7, sentAt: 0 },
    to: 'holding',
  },
  {
    name: 'a renewal counts from when it was sent',
    from: holding(0),
    event: { _tag: 'renewed', lease: 7, sentAt: 1_000 },
    to: 'holding',
    actsAt: 5_600,
    acts: true,
  },
  {
    name: 'without a renewal the lease is suspended near its end',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: null },
    to: 'suspended',
    actsAt: 4_800,
    acts: false,
  },
  {
    name: 'a suspended lease stays suspended in an outage for all',
    from: { _tag: 'suspended', lease: 7 },
    event: { _tag: 'tick', now: 1, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'suspended',
  },
  {
    name: 'an outage for most begins the grace',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'outageGrace',
    actsAt: 5_500,
    acts: true,
  },
  // A user may have been told of a cancellation that this controller doesn't know: the workers' leases must
  // still end in time.
  {
    name: 'the grace lasts no longer than unknown cancellations allow',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: 5_000 },
    to: 'outageGrace',
    actsAt: 5_001,
    acts: false,
  },
  {
    name: 'the grace ends early when its bound becomes one that is passed',
    from: { _tag: 'outageGrace', lease: 7, until: 9_000 },
    event: { _tag: 'tick', now: 8_000, outageGraceUntil: 7_900 },
    to: 'suspended',
  },
  {
    name: 'the bound on the grace takes nothing from a lease that surely lasts',
    from: holding(0),
    event: { _tag: 'tick', now: 1_000, outageGraceUntil: -5_000 },
    to: 'holding',
    actsAt: 4_600,
    acts: true,
  },
  {
    name: 'the grace ends soon after the others can reach the store again',
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
  { name: 'an ended lease detaches', from: holding(0), event: { _tag: 'ended', lease: 7 }, to: 'detached' },
  {
    name: "an earlier lease's end changes nothing",
    from: holding(0),
    event: { _tag: 'ended', lease: 6 },
    to: 'holding',
  },
];

for (const row of transitions) {
  test(`lease: ${row.name}`, () => {
    const after = nextLeaseState(row.from, row.event, TTL);
    assert.equal(after._tag, row.to);
    if (row.actsAt !== undefined) assert.equal(mayAct(after, row.actsAt), row.acts);
  });
}
