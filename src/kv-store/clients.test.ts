import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import { Cloud } from '../fleet/cloud.js';
import { WITHHELD, type CallOutcome, type HttpClientFactory } from '../http.js';
import { permitWhile } from '../testing/duties.js';
import { KeyValueStore } from './client.js';
import { WatchCache } from './watch-cache.js';

/** Clients against stand-ins that answer one thing: what each answer is taken to mean. */
const saying =
  (answer: CallOutcome): HttpClientFactory =>
  () => ({ request: () => Promise.resolve(answer) });
const status = (code: number, body: unknown = null): CallOutcome => ({
  _tag: 'response',
  status: code,
  body,
});
const silence: CallOutcome = { _tag: 'noResponse', why: 'timeout' };
const at = { host: 'h', port: 1 };
const store = (answer: CallOutcome): KeyValueStore =>
  new KeyValueStore(at, { rps: 100, write_rps: 100, txn_ops: 8, nodes: 1 }, () => 0, saying(answer));

const txns: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'carried out', answer: status(200, { epoch: 7 }), expect: 'committed' },
  { name: 'a condition failed', answer: status(409, { failed: ['a'], epoch: 7 }), expect: 'conflict' },
  { name: 'the lease has ended', answer: status(400, { error: 'no such lease' }), expect: 'noLease' },
  { name: 'too many requests: not carried out', answer: status(429), expect: 'refused' },
  { name: 'an outage: not carried out', answer: status(503), expect: 'refused' },
  { name: 'no answer: maybe, maybe later', answer: silence, expect: 'unknown' },
  { name: 'an answer that the protocol does not know: maybe', answer: status(500), expect: 'unknown' },
];
for (const row of txns) {
  test(`txn: ${row.name}`, async () => {
    const result = await Effect.runPromise(
      store(row.answer).compareAndSwap([], [{ _tag: 'delete', key: 'k' }], 'user'),
    );
    assert.equal(result._tag, row.expect);
  });
}

const reads: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'found', answer: status(200, { path: 'k', data: 1, brandMark: 3 }), expect: 'found' },
  { name: 'absent only when the service says so', answer: status(404, { epoch: 3 }), expect: 'absent' },
  { name: 'not when it is down', answer: status(503), expect: 'failed' },
  { name: 'nor when it is silent', answer: silence, expect: 'failed' },
];
for (const row of reads) {
  test(`get: ${row.name}`, async () =>
    assert.equal((await Effect.runPromise(store(row.answer).get('k', 'user')))._tag, row.expect));
}

const watches: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  {
    name: 'changes',
    answer: status(200, { epoch: 4, news: [{ remove: 'k', brandMark: 4 }] }),
    expect: 'events',
  },
  { name: 'too old: read again', answer: status(410), expect: 'tooOld' },
  { name: 'hanging', answer: silence, expect: 'failed' },
];
for (const row of watches) {
  test(`watch: ${row.name}`, async () =>
    assert.equal((await Effect.runPromise(store(row.answer).watch('w/', 3)))._tag, row.expect));
}

const renewals: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'held', answer: status(200, { permit: 7 }), expect: 'held' },
  { name: 'ended', answer: status(404), expect: 'gone' },
  { name: 'an outage says nothing about the lease', answer: status(503), expect: 'failed' },
];
for (const row of renewals) {
  test(`renew: ${row.name}`, async () =>
    assert.equal((await Effect.runPromise(store(row.answer).renew(7)))._tag, row.expect));
}

const rents: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'rented, perhaps fewer', answer: status(200, { drovers: ['i-1'] }), expect: 'rented' },
  { name: 'no capacity', answer: status(503, { error: 'no capacity' }), expect: 'noCapacity' },
  {
    name: 'an outage is not a lack of capacity',
    answer: status(503, { error: 'trouble' }),
    expect: 'refused',
  },
  { name: 'too many requests', answer: status(429), expect: 'refused' },
  { name: 'no answer: machines may come up that nobody expects', answer: silence, expect: 'unknown' },
  { name: 'the right to send it was lost on the way: surely not sent', answer: WITHHELD, expect: 'withheld' },
];
for (const row of rents) {
  test(`rent: ${row.name}`, async () => {
    const cloud = new Cloud(at, 10, 1, () => 0, saying(row.answer));
    const result = await Effect.runPromise(
      cloud.provision(
        { name: 'r', type: 'g', zone: 'a', spot: false, count: 2 },
        permitWhile(() => true),
      ),
    );
    assert.equal(result._tag, row.expect);
  });
}

test('cloud: what a duty must cover neither compiles nor runs without its permit', async () => {
  let requests = 0;
  const counting: HttpClientFactory = () => ({
    request: () => {
      requests += 1;
      return Promise.resolve(silence);
    },
  });
  const cloud = new Cloud(at, 10, 1, () => 0, counting);
  const request = { name: 'r', type: 'g', zone: 'a', spot: false, count: 2 };
  // @ts-expect-error a rental without a permit
  await assert.rejects(Effect.runPromise(cloud.provision(request)));
  // @ts-expect-error a release without a permit
  await assert.rejects(Effect.runPromise(cloud.release(['i-1'])));
  assert.equal(requests, 0);
});

test('cache: an older change never undoes a newer one', () => {
  const cache = new WatchCache(store(silence));
  const seen: string[] = [];
  cache.onEvent((event) => seen.push(event._tag));
  cache.apply({ _tag: 'put', item: { key: 'w/c/0', value: 2, version: 20 } });
  cache.apply({ _tag: 'put', item: { key: 'w/c/0', value: 1, version: 10 } });
  cache.apply({ _tag: 'delete', key: 'w/c/0', version: 15 });
  assert.equal(cache.get('w/c/0')?.value, 2);
  cache.apply({ _tag: 'delete', key: 'w/c/0', version: 25 });
  assert.equal(cache.get('w/c/0'), undefined);
  assert.deepEqual(seen, ['put', 'delete']);
});
