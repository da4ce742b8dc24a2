/**
 * Guards against a relay that blocks, or writes a value that the key-value store refuses, when a summary is
 * too large for a value.
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

/** Turns of the event loop after each step of the clock, so that pending promises settle. */
const TURNS = 10;
/** Number of relay intervals that a test runs for. */
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

/**
 * Runs the relay with this summary for `INTERVALS` intervals; returns the values it writes and its log lines.
 */
const runRelay = async (valueBytes: number) => {
  mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1e6 });
  const logged: unknown[] = [];
  const spies = (['info', 'error'] as const).map((level) =>
    mock.method(log, level, (line: unknown) => logged.push(line)),
  );
  const { store, writes } = recordingStore();
  const relay = new KeyValueStoreRelay({
    store,
    valueBytes,
    now: () => Date.now(),
    leaderClaim: () => 7,
    summariesToRelay: () => [summary],
    transferMachines: () => undefined,
  });
  const fiber = Effect.runFork(relay.run);
  for (let elapsedMs = 0; elapsedMs < INTERVALS * RELAY_INTERVAL_MS; elapsedMs += RELAY_CHECK_INTERVAL_MS) {
    mock.timers.tick(RELAY_CHECK_INTERVAL_MS);
    for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
  Effect.runFork(Fiber.interrupt(fiber));
  mock.timers.reset();
  for (const spy of spies) spy.mock.restore();
  return { written: writes.map((transaction) => transaction[0]?.data), logged };
};

test('relay limits: a class of demand that fits no value is omitted from the summary', async () => {
  const { written, logged } = await runRelay(SMALLEST_VALUE_BYTES);
  const [first] = written;
  assert.deepEqual(readRelayedSummary(first), { ...summary, needs: [], spares: [] });
  assert.deepEqual(logged[0], {
    event: 'relay.value_shortened',
    key: 'w/s/1',
    omitted: { needs: 1, spares: 1 },
  });
});

test('relay limits: a summary that fits no value is not written, but logged once per interval', async () => {
  const { written, logged } = await runRelay(20);
  assert.deepEqual(written, []);
  assert.equal(logged.length, INTERVALS);
  assert.deepEqual(logged[0], { event: 'relay.value_too_large', key: 'w/s/1', bytes: 57 });
});
