/** What the copy of the shared keys shows, and how recent that is. */

import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import { CACHE_FRESHNESS_MS } from '../constants/key-value-store.js';
import { alwaysAnswering, TIMED_OUT } from '../testing/answering-client.js';
import { KeyValueStoreStandIn } from '../testing/key-value-store-stand-in.js';
import { KeyValueStore } from './client.js';
import { WatchCache } from './watch-cache.js';

const LIMITS = { requestsPerSecond: 100, changesPerSecond: 100, maxTransactionWrites: 8, nodes: 1 };
const TARGET = { host: 'state', port: 1 };

/** How recent what the copy shows is, by what the store does. */
const rows: readonly {
  name: string;
  refusedFromS: number;
  ageAt60S: readonly [least: number, most: number];
}[] = [
  // Where nothing changes watches end empty; the copy must be recent enough to answer from all the same.
  { name: 'nothing changes for a minute', refusedFromS: 99, ageAt60S: [0, CACHE_FRESHNESS_MS] },
  // A watch that hangs says nothing: what happened since may be unknown here.
  { name: 'this controller alone is refused from 20 s on', refusedFromS: 20, ageAt60S: [40_000, 50_000] },
];
for (const row of rows) {
  test(`cache: ${row.name}`, async () => {
    mock.timers.enable({ apis: ['setTimeout', 'Date'], now: 1_000_000 });
    const state = new KeyValueStoreStandIn();
    const now = (): number => Date.now();
    const store = new KeyValueStore(TARGET, LIMITS, now, () => ({
      request: (method, path, body) => state.handle('n0', method, path, body),
    }));
    const cache = new WatchCache(store, now);
    const fiber = Effect.runFork(cache.run);
    try {
      let oldest = 0;
      for (let ms = 0; ms < 60_000; ms += 20) {
        if (ms === row.refusedFromS * 1_000) state.refused.add('n0');
        mock.timers.tick(20);
        for (let k = 0; k < 4; k += 1) await new Promise((resolve) => setImmediate(resolve));
        if (ms > 1_000) oldest = Math.max(oldest, now() - cache.confirmedAt);
      }
      assert.ok(oldest >= row.ageAt60S[0] && oldest <= row.ageAt60S[1], `${oldest} ms`);
    } finally {
      Effect.runFork(Fiber.interrupt(fiber));
      mock.timers.reset();
    }
  });
}

test('cache: an older change never undoes a newer one', () => {
  const cache = new WatchCache(new KeyValueStore(TARGET, LIMITS, () => 0, alwaysAnswering(TIMED_OUT)));
  const seen: string[] = [];
  cache.onEvent((event) => seen.push(event._tag));
  cache.apply({ _tag: 'put', entry: { key: 'w/c/0', value: 2, version: 20 } });
  cache.apply({ _tag: 'put', entry: { key: 'w/c/0', value: 1, version: 10 } });
  cache.apply({ _tag: 'delete', key: 'w/c/0', version: 15 });
  assert.equal(cache.get('w/c/0')?.value, 2);
  cache.apply({ _tag: 'delete', key: 'w/c/0', version: 25 });
  assert.equal(cache.get('w/c/0'), undefined);
  assert.deepEqual(seen, ['put', 'delete']);
});
