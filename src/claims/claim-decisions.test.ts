/** Tests which claims a controller takes or hands over, for different states of the claims and the peers. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decideClaims, type ClaimsSnapshot, type ObservedClaim, type PeerStatus } from './claim-decisions.js';

const claim = (node: string, incarnation = '1', revision = 5): ObservedClaim => ({
  node,
  incarnation,
  revision,
});
const snapshot = (overrides: Partial<ClaimsSnapshot>): ClaimsSnapshot => ({
  self: { node: 'n0', incarnation: '1' },
  controllers: ['n0', 'n1', 'n2'],
  claimNames: ['0', '1', '2', 'L'],
  claims: new Map(),
  freeSince: new Map(),
  peers: [],
  unreachableShards: new Map(),
  now: 0,
  ...overrides,
});
const peer = (node: string, overrides: Partial<PeerStatus>): PeerStatus => ({
  node,
  incarnation: '2',
  lease: 3,
  steadyMs: 60_000,
  storeReachable: true,
  workersUnreachable: false,
  ...overrides,
});
const claimsOf = (entries: Record<string, ObservedClaim>): ReadonlyMap<string, ObservedClaim> =>
  new Map(Object.entries(entries));

const decisions: readonly { name: string; snapshot: ClaimsSnapshot; expect: readonly string[] }[] = [
  {
    name: 'a controller takes its own shard at once and leaves the others to their preferred holders',
    snapshot: snapshot({}),
    expect: ['take 0', 'take L'],
  },
  {
    name: 'another controller takes a shard that its preferred holder has left free too long',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      now: 3_000,
    }),
    expect: ['take 1'],
  },
  {
    name: 'a free shard is not left to a preferred holder that sends no heartbeats',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      peers: [peer('n1', { steadyMs: -1, incarnation: '1' })],
      now: 700,
    }),
    expect: ['take 1'],
  },
  {
    name: 'a free shard is left to its preferred holder while that controller sends heartbeats',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      freeSince: new Map([['1', 0]]),
      peers: [peer('n1', { steadyMs: 100, incarnation: '1' })],
      now: 700,
    }),
    expect: [],
  },
  {
    name: "a restarted process takes over its predecessor's claims at once",
    snapshot: snapshot({
      claims: claimsOf({
        '0': claim('n0', 'old', 9),
        '1': claim('n1'),
        '2': claim('n2'),
        L: claim('n0', 'old', 4),
      }),
    }),
    expect: ['take 0', 'take L'],
  },
  {
    name: 'a second shard is handed back to a stable controller without a shard',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '1': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      peers: [peer('n1', { steadyMs: 60_000 })],
    }),
    expect: ['hand 1'],
  },
  {
    name: 'a second shard is not handed back to a controller that has just started or cannot reach the store',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '1': claim('n0'), '2': claim('n0'), L: claim('n2') }),
      peers: [
        peer('n1', { steadyMs: 100 }),
        peer('n2', { steadyMs: 60_000, lease: 4, storeReachable: false }),
      ],
    }),
    expect: [],
  },
  {
    name: 'a shard whose workers reach only another controller is handed over to that controller',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '1': claim('n1'), '2': claim('n2'), L: claim('n2') }),
      peers: [peer('n1', { steadyMs: 100 })],
      unreachableShards: new Map([['0', 'n1']]),
    }),
    expect: ['hand 0'],
  },
  {
    name: 'a shard is not handed back to a controller that reports that workers could not reach it',
    snapshot: snapshot({
      claims: claimsOf({ '0': claim('n0'), '1': claim('n0'), '2': claim('n2'), L: claim('n2') }),
      peers: [peer('n1', { steadyMs: 60_000, workersUnreachable: true })],
    }),
    expect: [],
  },
];
for (const row of decisions) {
  test(`claims: ${row.name}`, () => {
    assert.deepEqual(
      decideClaims(row.snapshot).map((action) => `${action._tag} ${action.claimName}`),
      row.expect,
    );
  });
}
