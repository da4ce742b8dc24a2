/** Tests the exact wire form of messages, and the exact stored form of values, about cancellations. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as codec from './codec.js';
import type { Cancellation } from './model.js';

const cancellations: readonly Cancellation[] = [
  { shardId: 1, claim: 50, job: 'job-1', revision: 100 },
  { shardId: 2, claim: 51, job: 'job-2', revision: 101 },
];
const REQUEST = '[[1,50,"job-1",100],[2,51,"job-2",101]]';

test('cancellation codec: a request', () => {
  assert.equal(JSON.stringify(codec.writeAcknowledgeRequest(cancellations)), REQUEST);
  assert.deepEqual(codec.readAcknowledgeRequest(JSON.parse(REQUEST)), cancellations);
});

test('cancellation codec: malformed rows of a request are ignored', () => {
  assert.deepEqual(codec.readAcknowledgeRequest([[1, 50, 'job-1', 100], [1, 'x', 'job-1', 100], 7, null]), [
    { shardId: 1, claim: 50, job: 'job-1', revision: 100 },
  ]);
  assert.deepEqual(codec.readAcknowledgeRequest(null), []);
});

test('cancellation codec: a durable acknowledgement', () => {
  assert.equal(
    JSON.stringify(codec.writeDurableAcknowledgement({ claim: 50, revision: 7 })),
    '{"c":50,"r":7}',
  );
  assert.deepEqual(codec.readDurableAcknowledgement({ c: 50, r: 7, later: 1 }), { claim: 50, revision: 7 });
});

test('cancellation codec: a response', () =>
  assert.equal(JSON.stringify(codec.writeAcknowledgeReply([true, false])), '{"heeded":[true,false]}'));

interface ReplyCase {
  readonly name: string;
  readonly body: unknown;
  readonly expected: readonly boolean[];
}
const replies: readonly ReplyCase[] = [
  { name: 'two acknowledgements', body: { heeded: [true, true] }, expected: [true, true] },
  { name: 'one acknowledgement', body: { heeded: [false, true] }, expected: [false, true] },
  { name: 'fewer values than cancellations', body: { heeded: [true] }, expected: [true, false] },
  { name: 'values that are not booleans', body: { heeded: [1, 'true'] }, expected: [false, false] },
  { name: 'a value in place of the list', body: { heeded: true }, expected: [false, false] },
  { name: 'no body', body: null, expected: [false, false] },
];
for (const row of replies) {
  test(`cancellation codec: a response with ${row.name}`, () =>
    assert.deepEqual(codec.readAcknowledgeReply(row.body, 2), row.expected));
}
