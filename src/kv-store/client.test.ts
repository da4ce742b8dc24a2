/** What each answer of the key-value store is taken to mean. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as Effect from 'effect/Effect';
import type { CallOutcome } from '../http/model.js';
import { alwaysAnswering, status, TIMED_OUT } from '../testing/answering-client.js';
import { KeyValueStore } from './client.js';

const LIMITS = { requestsPerSecond: 100, changesPerSecond: 100, maxTransactionWrites: 8, nodes: 1 };
const store = (answer: CallOutcome): KeyValueStore =>
  new KeyValueStore({ host: 'h', port: 1 }, LIMITS, () => 0, alwaysAnswering(answer));

const transactions: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'carried out', answer: status(200, { epoch: 7 }), expect: 'committed' },
  { name: 'a condition failed', answer: status(409, { failed: ['a'], epoch: 7 }), expect: 'conflict' },
  { name: 'the lease has ended', answer: status(400, { error: 'no such lease' }), expect: 'noLease' },
  { name: 'too many requests: not carried out', answer: status(429), expect: 'refused' },
  { name: 'an outage: not carried out', answer: status(503), expect: 'refused' },
  { name: 'no answer: maybe carried out, maybe later', answer: TIMED_OUT, expect: 'unknown' },
  {
    name: 'an answer that the protocol does not know: maybe carried out',
    answer: status(500),
    expect: 'unknown',
  },
];
for (const row of transactions) {
  test(`transaction: ${row.name}`, async () => {
    const result = await Effect.runPromise(
      store(row.answer).compareAndSwap([], [{ _tag: 'delete', key: 'k' }], 'user'),
    );
    assert.equal(result._tag, row.expect);
  });
}

const reads: readonly { name: string; answer: CallOutcome; expect: string }[] = [
  { name: 'found', answer: status(200, { path: 'k', data: 1, brandMark: 3 }), expect: 'found' },
  { name: 'absent only when the service says so', answer: status(404, { epoch: 3 }), expect: 'absent' },
  { name: 'not absent when the service is down', answer: status(503), expect: 'failed' },
  { name: 'not absent when the service does not answer', answer: TIMED_OUT, expect: 'failed' },
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
  { name: 'too old a revision: the keys must be listed again', answer: status(410), expect: 'tooOld' },
  { name: 'no answer', answer: TIMED_OUT, expect: 'failed' },
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
