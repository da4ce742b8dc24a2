/**
 * Only the leader releases machines without an intent, and only while the key-value store does not answer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { leaderDuties } from '../testing/duties.js';
import { releaseWithoutIntent } from './release-without-intent.js';

/** The revision of the leader's claim. */
const CLAIM_REVISION = 40;

const cases: readonly {
  name: string;
  msSinceStoreAnswered?: number;
  leader?: string;
  answer?: unknown;
  ordersSent: number;
  returned: boolean;
}[] = [
  { name: 'the leader confirms it', answer: { returned: true }, ordersSent: 1, returned: true },
  { name: 'the leader does not answer', answer: null, ordersSent: 1, returned: false },
  {
    name: 'the key-value store answers: the release needs an intent',
    msSinceStoreAnswered: 100,
    ordersSent: 0,
    returned: false,
  },
  { name: 'this controller leads', leader: 'n0', ordersSent: 0, returned: true },
  { name: 'no controller leads', leader: '', ordersSent: 0, returned: false },
];
for (const row of cases) {
  test(`release without intent: ${row.name}`, async () => {
    const orders: unknown[] = [];
    const returned = await releaseWithoutIntent(
      {
        shardId: 2,
        duty: leaderDuties(CLAIM_REVISION, () => 0).leaderDuty('release'),
        ownNode: 'n0',
        leaderNode: () => (row.leader === '' ? undefined : (row.leader ?? 'n1')),
        msSinceStoreAnswered: () => row.msSinceStoreAnswered ?? 60_000,
        releaseLocally: () => Promise.resolve(true),
        sendRequest: (_node, _path, body) => {
          orders.push(body);
          return Promise.resolve(row.answer);
        },
      },
      ['i-1'],
    );
    assert.equal(returned, row.returned);
    const order = { machines: ['i-1'], share: 2, token: CLAIM_REVISION };
    assert.deepEqual(orders, row.ordersSent === 1 ? [order] : []);
  });
}
