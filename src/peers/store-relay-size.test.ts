/**
 * Guards against a relay that stands still, or writes what the store refuses, when a summary fits no value.
 */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import { RELAY_CHECK_INTERVAL_MS, RELAY_INTERVAL_MS } from '../constants/peers.js';
import type { ShardSummary, UnmetDemand } from '../fleet/shard-summary.js';
import { log } from '../log.js';
import { recordingStore, SMALLEST_VALUE_BYTES } from '../testing/smallest-limits.js';
import { readRelayedSummary } from './relay-codec.js';
import { KeyValueStoreRelay } from './store-relay.js';

const TURNS = 10;
/** Writes of one summary that the relay has time for. */
const INTERVALS = 3;

const demand: UnmetDemand = {
  cpus: 21,
  gpus: 4,
  memoryGb: 120,
  types: Array.from({ length: 200 }, (_, index) => `machine-type-${index}`),
  zone: null,
  spot: false,
  gang: true,
  oneZone: true,
  urgent: false,
  priority: 1,
  tasks: 8,
  gangs: [],
  zoneCapacity: {},
  waitedMs: 1,
};
const summary: ShardSummary = {
  shardId: 1,
  claim: 2,
  revision: 3,
  needs: [demand],
  spares: [{ id: 'i-000001', type: 'g', zone: 'x', spot: false, idleS: 4 }],
};

/** What the relay writes and logs for this summary in some intervals. */
const relay = async (valueBytes: number) => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1e6 });
  const logged: unknown[] = [];
  const spies = (['info', 'error'] as const).map((level) =>
    mock.method(log, level, (line: unknown) => logged.push(line)),
  );
  const { store, writes } = recordingStore();
  const subject = new KeyValueStoreRelay({
    store,
    valueBytes,
    now: () => Date.now(),
    leaderClaim: () => 7,
    summariesToRelay: () => [summary],
    transferMachines: () => undefined,
  });
  const fiber = Effect.runFork(subject.run);
  for (let passed = 0; passed < INTERVALS * RELAY_INTERVAL_MS; passed += RELAY_CHECK_INTERVAL_MS) {
    mock.timers.tick(RELAY_CHECK_INTERVAL_MS);
    for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
  Effect.runFork(Fiber.interrupt(fiber));
  mock.timers.reset();
  for (const spy of spies) spy.mock.restore();
  return { written: writes.map((transaction) => transaction[0]?.data), logged };
};

test('relay limits: a class of demand that fits no value is left out, and the rest arrives', async () => {
  const { written, logged } = await relay(SMALLEST_VALUE_BYTES);
  const [first] = written;
  assert.deepEqual(readRelayedSummary(first), { ...summary, needs: [], spares: [] });
  assert.deepEqual(logged[0], {
    event: 'relay.value_shortened',
    key: 'w/s/1',
    omitted: { needs: 1, spares: 1 },
  });
});

test('relay limits: what fits no value at all is not written, and is logged once an interval', async () => {
  const { written, logged } = await relay(20);
  assert.deepEqual(written, []);
  assert.equal(logged.length, INTERVALS);
  assert.deepEqual(logged[0], { event: 'relay.value_too_large', key: 'w/s/1', bytes: 57 });
});
