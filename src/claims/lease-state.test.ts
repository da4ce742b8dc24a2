import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideClaims, type ClaimsView, type ObservedClaim } from './claim-decisions.js';
import { deadline, mayAct, nextLeaseState, type LeaseState, type LeaseEvent } from './lease-state.js';

const TTL = 5_000;
const holding = (sentAt: number): LeaseState => ({ _tag: 'holding', lease: 7, until: deadline(sentAt, TTL) });

const tenures: readonly {
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
    name: 'without a renewal nothing is done near the end of the lease',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: null },
    to: 'suspended',
    actsAt: 4_800,
    acts: false,
  },
  {
    name: 'a silent node stays silent, however quiet the others are',
    from: { _tag: 'suspended', lease: 7 },
    event: { _tag: 'tick', now: 1, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'suspended',
  },
  {
    name: 'an outage for most is ridden out',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: Number.POSITIVE_INFINITY },
    to: 'outageGrace',
    actsAt: 5_500,
    acts: true,
  },
  // Somebody may have told a user of a cancellation that this node doesn't know: the workers' leases must
  // still end in time.
  {
    name: 'an outage is ridden out no longer than unknown cancellations allow',
    from: holding(0),
    event: { _tag: 'tick', now: 4_800, outageGraceUntil: 5_000 },
    to: 'outageGrace',
    actsAt: 5_001,
    acts: false,
  },
  {
    name: 'riding is cut short when a sibling falls silent and the bound is passed',
    from: { _tag: 'outageGrace', lease: 7, until: 9_000 },
    event: { _tag: 'tick', now: 8_000, outageGraceUntil: 7_900 },
    to: 'suspended',
  },
  {
    name: 'the bound on riding takes nothing from a lease that surely lasts',
    from: holding(0),
    event: { _tag: 'tick', now: 1_000, outageGraceUntil: -5_000 },
    to: 'holding',
    actsAt: 4_600,
    acts: true,
  },
  {
    name: 'riding ends soon after the others can reach the state again',
    from: { _tag: 'outageGrace', lease: 7, until: 9_000 },
    event: { _tag: 'tick', now: 9_001, outageGraceUntil: null },
    to: 'suspended',
  },
  {
    name: 'a renewal ends silence',
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

for (const row of tenures) {
  test(`lease: ${row.name}`, () => {
    const after = nextLeaseState(row.from, row.event, TTL);
    assert.equal(after._tag, row.to);
    if (row.actsAt !== undefined) assert.equal(mayAct(after, row.actsAt), row.acts);
  });
}

const claim = (node: string, incarnation = '1', version = 5): ObservedClaim => ({
  node,
  incarnation,
  version,
});
const view = (over: Partial<ClaimsView>): ClaimsView => ({
  me: { node: 'n0', incarnation: '1' },
  nodes: ['n0', 'n1', 'n2'],
  claimNames: ['0', '1', '2', 'L'],
  claims: new Map(),
  freeSince: new Map(),
  peers: [],
  unreachableShards: new Map(),
  workersUnreachable: false,
  now: 0,
  ...over,
});
const all = (entries: Record<string, ObservedClaim>): ReadonlyMap<string, ObservedClaim> =>
  new Map(Object.entries(entries));

const decisions: readonly { name: string; view: ClaimsView; expect: readonly string[] }[] = [
  {
    name: 'a node takes its own slot at once and leaves the others to theirs',
    view: view({}),
    expect: ['take 0', 'take L'],
  },
  {
    name: 'a slot left free too long is taken by another node',
    view: view({
      claims: all({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      now: 3_000,
    }),
    expect: ['take 1'],
  },
  // The grace for a node that had just ended was a sixth of its workers' lease, in which no worker was
  // answered.
  {
    name: 'one whose node fell silent is not left to it',
    view: view({
      claims: all({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      peers: [
        {
          node: 'n1',
          incarnation: '1',
          lease: 3,
          steadyMs: -1,
          storeReachable: true,
          workersUnreachable: false,
        },
      ],
      now: 700,
    }),
    expect: ['take 1'],
  },
  {
    name: 'but left to it while it is heard',
    view: view({
      claims: all({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      peers: [
        {
          node: 'n1',
          incarnation: '1',
          lease: 3,
          steadyMs: 100,
          storeReachable: true,
          workersUnreachable: false,
        },
      ],
      now: 700,
    }),
    expect: [],
  },
  {
    name: "a restarted process takes over its predecessor's claims at once",
    view: view({
      claims: all({
        '0': claim('n0', 'old', 9),
        '1': claim('n1'),
        '2': claim('n2'),
        L: claim('n0', 'old', 4),
      }),
    }),
    expect: ['take 0', 'take L'],
  },
  {
    name: 'a second share goes back to a steady node without one',
    view: view({
      claims: all({ '0': claim('n0'), '1': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      peers: [
        {
          node: 'n1',
          incarnation: '2',
          lease: 3,
          steadyMs: 60_000,
          storeReachable: true,
          workersUnreachable: false,
        },
      ],
    }),
    expect: ['hand 1'],
  },
  {
    name: 'it does not go back to one that only just came up, or that cannot reach the state',
    view: view({
      claims: all({ '0': claim('n0'), '1': claim('n0'), '2': claim('n0'), L: claim('n2') }),
      peers: [
        {
          node: 'n1',
          incarnation: '2',
          lease: 3,
          steadyMs: 100,
          storeReachable: true,
          workersUnreachable: false,
        },
        {
          node: 'n2',
          incarnation: '2',
          lease: 4,
          steadyMs: 60_000,
          storeReachable: false,
          workersUnreachable: false,
        },
      ],
    }),
    expect: [],
  },
  {
    name: 'a share whose workers reach only another node is handed to that node',
    view: view({
      claims: all({ '0': claim('n0'), '1': claim('n1'), '2': claim('n2'), L: claim('n2') }),
      peers: [
        {
          node: 'n1',
          incarnation: '2',
          lease: 3,
          steadyMs: 100,
          storeReachable: true,
          workersUnreachable: false,
        },
      ],
      unreachableShards: new Map([['0', 'n1']]),
    }),
    expect: ['hand 0'],
  },
  {
    name: 'and does not come back while its owner says that workers could not reach it',
    view: view({
      claims: all({ '0': claim('n0'), '1': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      peers: [
        {
          node: 'n1',
          incarnation: '2',
          lease: 3,
          steadyMs: 60_000,
          storeReachable: true,
          workersUnreachable: true,
        },
      ],
    }),
    expect: [],
  },
];
for (const row of decisions) {
  test(`claims: ${row.name}`, () => {
    assert.deepEqual(
      decideClaims(row.view).map((action) => `${action._tag} ${action.claimName}`),
      row.expect,
    );
  });
}
