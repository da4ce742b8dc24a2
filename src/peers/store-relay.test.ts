/** Relayed orders fit the smallest limits of the key-value store. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import { bytesOf, recordingStore, SMALLEST_VALUE_BYTES } from '../testing/smallest-limits.js';
import { KeyValueStoreRelay } from './store-relay.js';

test('relay limits: orders are cut to what one value holds, with something of each kind', async () => {
  const { store, writes } = recordingStore();
  const relay = new KeyValueStoreRelay({
    store,
    valueBytes: SMALLEST_VALUE_BYTES,
    now: () => 1e6,
    leaderClaim: () => 7,
    summariesToRelay: () => [],
    transferMachines: () => undefined,
  });
  const reservation = {
    shardId: 1,
    job: 'job-000001',
    zone: 'launceston',
    spot: false,
    types: ['huon-large'],
    cpus: 21,
    gpus: 4,
    memoryGb: 120,
    tasks: 8,
    priority: 1,
    ageMs: 1000,
  };
  const moves = Array.from({ length: 200 }, (_, k) => ({ machine: `i-${k}`, to: 1 }));
  await Effect.runPromise(
    relay.relayOrders(
      1,
      moves,
      Array.from({ length: 30 }, () => reservation),
    ),
  );
  const value = writes[0]?.[0]?.data as { moves: unknown[]; holds: unknown[] };
  assert.ok(bytesOf(value) <= SMALLEST_VALUE_BYTES);
  assert.ok(value.moves.length > 0 && value.holds.length > 0, 'something of each goes');
});
