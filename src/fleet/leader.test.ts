/** Tests of the leader with all its parts against stand-ins of store and cloud, on a virtual clock. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type { HttpClientFactory } from '../http/model.js';
import { KeyValueStore } from '../kv-store/client.js';
import { WatchCache } from '../kv-store/watch-cache.js';
import { machineRecord } from '../testing/bodies.js';
import { leaderDuties } from '../testing/duties.js';
import { KeyValueStoreStandIn } from '../testing/key-value-store-stand-in.js';
import { Cloud } from './cloud.js';
import { Leader } from './leader.js';
import { writeMachineRecord } from './machine-record-codec.js';

const MACHINES = 230;
const CHANGES_PER_SECOND = 50;

const type = { sku: 'g', vcpus: 8, accelerators: 1, memoryGb: 8, localGb: 1, hourly: 1, marketPrice: 1 };

/** The record of a machine whose release the holder of its shard requests. */
const RECORD = machineRecord({ spot: true, releasing: true });

/**
 * Runs a leader against the key-value store stand-in and a cloud that records request paths, for `seconds` on
 * a virtual clock. `onReady` is called once the watch cache is loaded.
 */
const withLeader = async (
  releasingIds: readonly string[],
  onReady: (leader: Leader, state: KeyValueStoreStandIn) => void,
  seconds: number,
  mayAct: () => boolean = () => true,
): Promise<{ calls: string[]; state: KeyValueStoreStandIn }> => {
  mock.timers.enable({ apis: ['setTimeout', 'Date', 'setInterval'] });
  try {
    const state = new KeyValueStoreStandIn();
    const calls: string[] = [];
    const createHttpClient: HttpClientFactory = (target) => ({
      request: (method, path, body) => {
        if (target.host === 'state') return state.handle('n0', method, path, body);
        calls.push(path);
        return Promise.resolve({
          _tag: 'response',
          status: 200,
          body:
            path === '/catalog'
              ? { breeds: [{ ...type, readyS: 40, paddocks: ['x'] }] }
              : { drovers: [], more: false },
        });
      },
    });
    const writes = [
      { write: 'w/c/L', data: { n: 'n0', i: '1' } },
      ...releasingIds.map((id) => ({ write: `w/m/${id}`, data: writeMachineRecord(RECORD) })),
    ];
    // One transaction writes all records; afterwards the normal limit applies.
    state.limits = { maxValueBytes: 16 * 1024, maxTransactionWrites: writes.length };
    await state.handle('n0', 'POST', '/txn', { when: [], writes });
    state.limits.maxTransactionWrites = 48;
    const now = (): number => Date.now();
    const limits = {
      requestsPerSecond: 150,
      changesPerSecond: CHANGES_PER_SECOND,
      maxTransactionWrites: 48,
      nodes: 1,
    };
    const store = new KeyValueStore({ host: 'state', port: 1 }, limits, now, createHttpClient);
    const cache = new WatchCache(store);
    const leader = new Leader({
      store,
      cache,
      cloud: new Cloud({ host: 'cloud', port: 1 }, 2, 1, now, createHttpClient),
      duties: leaderDuties(1, now, mayAct),
      journal: null,
      shardCount: 3,
      valueBytes: 16 * 1024,
      maySplit: () => true,
      listLagS: 10,
      catalog: () => new Map(),
      actingRevision: () => (mayAct() ? 1 : null),
      summaries: () => [],
      orderTransfers: () => Effect.void,
      now,
      wall: now,
    });
    const fibers = [Effect.runFork(cache.run), Effect.runFork(leader.run)];
    let isStarted = false;
    for (let at = 0; at < seconds * 1_000; at += 20) {
      for (let k = 0; k < 6; k += 1) await new Promise((resolve) => setImmediate(resolve));
      mock.timers.tick(20);
      if (!isStarted && cache.ready) {
        isStarted = true;
        onReady(leader, state);
      }
    }
    for (const fiber of fibers) Effect.runFork(Fiber.interrupt(fiber));
    return { calls, state };
  } finally {
    mock.timers.reset();
  }
};

const ids = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, n) => `i-${String(n).padStart(6, '0')}`);

/**
 * Guards that releasing or adopting many machines takes no more requests and changes than their number
 * requires.
 */
for (const machines of [MACHINES, 4_000]) {
  const seconds = (machines / CHANGES_PER_SECOND) * 2;

  test(`leader: ${machines} machines to release together need as few requests as the cloud allows`, async () => {
    // With few machines per request, provisioning replacements would wait for the cloud's request rate.
    const { calls, state } = await withLeader(ids(machines), () => undefined, seconds + 10);
    assert.equal(calls.filter((path) => path === '/machines/release').length, Math.ceil(machines / 100));
    assert.deepEqual(state.keys('w/m/'), [], 'the records of the machines are deleted');
  });

  test(`leader: ${machines} machines running at startup are adopted at the change rate of the key-value store`, async () => {
    // Each worker sends a heartbeat to all controllers once a second until its machine is recorded.
    const { state } = await withLeader(
      [],
      (leader) => {
        for (const id of ids(machines)) leader.adopt(id, 'g', 'x', false);
      },
      seconds,
    );
    const records = state.keys('w/m/');
    assert.equal(records.length, machines);
  });
}

test('leader: releases machines again under the same claim after its lease was in doubt', async () => {
  // Guards against duties that remain suspended after an outage: no machine would be released until the next
  // leader.
  const isLeaseInDoubt = (): boolean => Date.now() > 3_000 && Date.now() < 6_000;
  const resultsInDoubt: boolean[] = [];
  const { calls, state } = await withLeader(
    [],
    (leader, storeStandIn) => {
      setTimeout(() => void leader.releaseNow(['i-000001']).then((done) => resultsInDoubt.push(done)), 4_000);
      const put = { write: 'w/m/i-000002', data: writeMachineRecord(RECORD) };
      setTimeout(() => void storeStandIn.handle('n0', 'POST', '/txn', { when: [], writes: [put] }), 8_000);
    },
    20,
    () => !isLeaseInDoubt(),
  );
  assert.deepEqual(resultsInDoubt, [false], 'no request is sent while the lease is in doubt');
  assert.equal(calls.filter((path) => path === '/machines/release').length, 1);
  assert.equal(state.version('w/m/i-000002'), 0, 'the record of the machine is deleted');
});
