/** Tests of the view of the peers after heartbeats, on a clock that the tests set. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEARTBEAT_FRESHNESS_MS, MAX_STEADY_HEARTBEAT_GAP_MS } from '../constants/peers.js';
import { heartbeatFrom } from '../testing/peer-heartbeats.js';
import { PeerView } from './peer-view.js';

const START_MS = 10_000;

/** A view of the peers `a` and `b`, and its clock. */
const createView = (): { readonly view: PeerView; readonly clock: { now: number } } => {
  const clock = { now: START_MS };
  return { view: new PeerView(['a', 'b'], () => clock.now), clock };
};

test('peer view: a heartbeat is recent until its maximum age', () => {
  const { view, clock } = createView();
  assert.equal(view.recentHeartbeat('a'), null);
  assert.equal(view.heartbeatAgeMs('a'), null);
  view.record(heartbeatFrom('a'));
  clock.now += HEARTBEAT_FRESHNESS_MS - 1;
  assert.equal(view.recentHeartbeat('a')?.from, 'a');
  clock.now += 1;
  assert.equal(view.recentHeartbeat('a'), null);
  assert.equal(view.heartbeatAgeMs('a'), HEARTBEAT_FRESHNESS_MS);
});

test('peer view: a heartbeat of a controller that the settings do not name is ignored', () => {
  const { view } = createView();
  view.record(heartbeatFrom('c', { lease: 7 }));
  assert.deepEqual(view.statuses(), []);
});

const steadiness: readonly {
  readonly name: string;
  readonly incarnation: string;
  readonly gapMs: number;
  readonly steadyMs: number;
}[] = [
  { name: 'of the same process without a gap', incarnation: '1', gapMs: 1_000, steadyMs: 1_000 },
  { name: 'of a restarted process', incarnation: '2', gapMs: 1_000, steadyMs: 0 },
  { name: 'after a gap', incarnation: '1', gapMs: MAX_STEADY_HEARTBEAT_GAP_MS, steadyMs: 0 },
];
for (const { name, incarnation, gapMs, steadyMs } of steadiness) {
  test(`peer view: a heartbeat ${name} is steady for ${steadyMs} ms`, () => {
    const { view, clock } = createView();
    view.record(heartbeatFrom('a'));
    clock.now += gapMs;
    view.record(heartbeatFrom('a', { incarnation }));
    assert.equal(view.statuses()[0]?.steadyMs, steadyMs);
  });
}

test('peer view: a peer that does not answer is not steady', () => {
  const { view, clock } = createView();
  view.record(heartbeatFrom('a'));
  clock.now += HEARTBEAT_FRESHNESS_MS;
  assert.equal(view.statuses()[0]?.steadyMs, -1);
});

test('peer view: only recent heartbeats decide whether the key-value store can be reached', () => {
  const { view, clock } = createView();
  view.record(heartbeatFrom('a', { storeSilenceMs: HEARTBEAT_FRESHNESS_MS }));
  assert.deepEqual(view.storeReachability(), { down: 1, up: 0 });
  assert.equal(view.storeDownForAll(), false);
  view.record(heartbeatFrom('b', { storeSilenceMs: HEARTBEAT_FRESHNESS_MS }));
  assert.equal(view.storeDownForAll(), true);
  view.record(heartbeatFrom('b'));
  assert.deepEqual(view.storeReachability(), { down: 1, up: 1 });
  clock.now += HEARTBEAT_FRESHNESS_MS;
  assert.deepEqual(view.storeReachability(), { down: 0, up: 0 });
});

test('peer view: an announced version does not expire, but is supported only while recent', () => {
  const { view, clock } = createView();
  view.record(heartbeatFrom('a', { protocolVersion: 2 }));
  assert.deepEqual(view.announcedVersions(), [2, null]);
  assert.equal(view.supportsVersion('a', 2), true);
  assert.equal(view.supportsVersion('a', 3), false);
  clock.now += HEARTBEAT_FRESHNESS_MS;
  assert.deepEqual(view.announcedVersions(), [2, null]);
  assert.equal(view.supportsVersion('a', 2), false);
  view.record(heartbeatFrom('a'));
  assert.deepEqual(view.announcedVersions(), [0, null]);
});

test('peer view: the demand of a peer is the one last announced, however long ago', () => {
  const { view, clock } = createView();
  view.record(heartbeatFrom('b', { demand: { requests: 5, changes: 3 } }));
  clock.now += HEARTBEAT_FRESHNESS_MS;
  assert.deepEqual(view.storeDemands(), [
    { requests: 0, changes: 0 },
    { requests: 5, changes: 3 },
  ]);
});

test('peer view: task counts of the last heartbeat, by shard and job', () => {
  const { view, clock } = createView();
  view.record(heartbeatFrom('a', { counts: [{ shardId: 1, jobs: [['job-1', 2, 3]] }] }));
  assert.deepEqual(view.taskCounts(1, 'job-1'), { done: 2, running: 3 });
  assert.equal(view.taskCounts(0, 'job-1'), null);
  assert.equal(view.taskCounts(1, 'job-2'), null);
  view.record(heartbeatFrom('a', { counts: [{ shardId: 1, jobs: [['job-1', 4, 1]] }] }));
  assert.deepEqual(view.taskCounts(1, 'job-1'), { done: 4, running: 1 });
  clock.now += HEARTBEAT_FRESHNESS_MS + 1;
  assert.equal(view.taskCounts(1, 'job-1'), null);
});

test('peer view: misrouted heartbeats of a shard are those of the peer that receives the most', () => {
  const { view } = createView();
  assert.equal(view.misroutedHeartbeats('1'), null);
  view.record(heartbeatFrom('a', { misroutedHeartbeats: { 1: 4 } }));
  view.record(heartbeatFrom('b', { misroutedHeartbeats: { 1: 6, 2: 1 } }));
  assert.deepEqual(view.misroutedHeartbeats('1'), { node: 'b', count: 6 });
  assert.deepEqual(view.misroutedHeartbeats('2'), { node: 'b', count: 1 });
  assert.equal(view.misroutedHeartbeats('3'), null);
});
