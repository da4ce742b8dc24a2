/** Tests every event in every state of the lease. An event that does not apply in a state changes nothing. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { nextLeaseState, type LeaseEvent, type LeaseState } from './lease-state.js';

const TTL_MS = 5_000;
const LEASE = 7;
const EARLIER_LEASE = 6;

const states: Readonly<Record<LeaseState['_tag'], LeaseState>> = {
  detached: { _tag: 'detached' },
  holding: { _tag: 'holding', lease: LEASE, until: 4_000 },
  outageGrace: { _tag: 'outageGrace', lease: LEASE, until: 4_000 },
  suspended: { _tag: 'suspended', lease: LEASE },
};
const events = {
  granted: { _tag: 'granted', lease: 8, sentAt: 1_000 },
  renewed: { _tag: 'renewed', lease: LEASE, sentAt: 1_000 },
  'earlier lease renewed': { _tag: 'renewed', lease: EARLIER_LEASE, sentAt: 1_000 },
  ended: { _tag: 'ended', lease: LEASE },
  'earlier lease ended': { _tag: 'ended', lease: EARLIER_LEASE },
  'tick in time': { _tag: 'tick', now: 3_999, outageGraceUntil: null },
  'tick too late': { _tag: 'tick', now: 4_000, outageGraceUntil: null },
  'tick in an outage': { _tag: 'tick', now: 4_000, outageGraceUntil: 9_000 },
} as const satisfies Record<string, LeaseEvent>;

type EventName = keyof typeof events;
type Tag = LeaseState['_tag'];

const expected: Readonly<Record<EventName, Readonly<Record<Tag, Tag>>>> = {
  granted: { detached: 'holding', holding: 'holding', outageGrace: 'holding', suspended: 'holding' },
  renewed: { detached: 'detached', holding: 'holding', outageGrace: 'holding', suspended: 'holding' },
  'earlier lease renewed': {
    detached: 'detached',
    holding: 'holding',
    outageGrace: 'outageGrace',
    suspended: 'suspended',
  },
  ended: { detached: 'detached', holding: 'detached', outageGrace: 'detached', suspended: 'detached' },
  'earlier lease ended': {
    detached: 'detached',
    holding: 'holding',
    outageGrace: 'outageGrace',
    suspended: 'suspended',
  },
  'tick in time': {
    detached: 'detached',
    holding: 'holding',
    outageGrace: 'outageGrace',
    suspended: 'suspended',
  },
  'tick too late': {
    detached: 'detached',
    holding: 'suspended',
    outageGrace: 'suspended',
    suspended: 'suspended',
  },
  'tick in an outage': {
    detached: 'detached',
    holding: 'outageGrace',
    outageGrace: 'outageGrace',
    suspended: 'suspended',
  },
};

for (const event of Object.keys(expected) as EventName[]) {
  for (const from of Object.keys(states) as Tag[]) {
    const to = expected[event][from];
    test(`lease: ${event} in state ${from} leads to ${to}`, () => {
      const after = nextLeaseState(states[from], events[event], TTL_MS);
      assert.equal(after._tag, to);
      if (event.startsWith('earlier lease')) assert.equal(after, states[from], 'nothing changes');
    });
  }
}
