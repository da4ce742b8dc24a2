/** Machines are released without an intent only while the state service does not answer, by the leader. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { leaderDuties } from '../testing/duties.js';
import { releaseWithoutIntent } from './release-without-intent.js';

/** The revision of the leader's claim. */
const HELD_UNDER = 40;

const returns: readonly {
  name: string;
  msSinceStoreAnswered?: number;
  leader?: string;
  answer?: unknown;
  asked: number;
  returned: boolean;
}[] = [
  { name: 'the leader confirms it', answer: { returned: true }, asked: 1, returned: true },
  { name: 'the leader does not answer', answer: null, asked: 1, returned: false },
  {
    name: 'the state service answers: the record is the way',
    msSinceStoreAnswered: 100,
    asked: 0,
    returned: false,
  },
  { name: 'this node leads', leader: 'n0', asked: 0, returned: true },
  { name: 'nobody leads', leader: '', asked: 0, returned: false },
];
for (const row of returns) {
  test(`release without intent: ${row.name}`, async () => {
    const orders: unknown[] = [];
    const returned = await releaseWithoutIntent(
      {
        shardId: 2,
        duty: leaderDuties(HELD_UNDER, () => 0).leaderDuty('release'),
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
    const order = { machines: ['i-1'], share: 2, token: HELD_UNDER };
    assert.deepEqual(orders, row.asked === 1 ? [order] : []);
  });
}
