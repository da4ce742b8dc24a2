/**
 * Tests that relayed orders and summaries convert to and from their exact stored form. The expected texts
 * must not change when names in the code change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { RelayedOrders } from './orders.js';
import { readRelayedOrders, readRelayedSummary, writeRelayedOrders } from './relay-codec.js';
import { writeSummary } from './summary-codec.js';

const orders: RelayedOrders = {
  leaderClaim: 41,
  transfers: [{ machine: 'i-1', to: 2 }],
  reservations: [
    {
      shardId: 1,
      job: 'job-1',
      zone: 'x',
      spot: true,
      types: null,
      cpus: 1,
      gpus: 2,
      memoryGb: 3,
      tasks: 4,
      priority: 0,
      ageMs: 5,
    },
  ],
};
const ORDERS =
  '{"leader":41,"moves":[{"machine":"i-1","to":2}],"holds":[{"share":1,"job":"job-1","zone":"x",' +
  '"spot":true,"types":null,"cpus":1,"gpus":2,"memoryGb":3,"tasks":4,"priority":0,"ageMs":5}]}';
const summary: ShardSummary = {
  shardId: 1,
  claim: 7,
  revision: 9,
  needs: [],
  spares: [{ id: 'i-1', type: 'g', zone: 'x', spot: false, idleS: 3 }],
  unlisted: [],
};
const SUMMARY =
  '{"share":1,"claim":7,"revision":9,"needs":[],' +
  '"spares":[{"id":"i-1","type":"g","zone":"x","spot":false,"idleS":3}],"unlisted":[]}';

test('relay codec: orders', () => {
  assert.equal(JSON.stringify(writeRelayedOrders(orders)), ORDERS);
  assert.deepEqual(readRelayedOrders(JSON.parse(ORDERS)), orders);
});

test('relay codec: a summary', () => {
  assert.equal(JSON.stringify(writeSummary(summary)), SUMMARY);
  assert.deepEqual(readRelayedSummary(JSON.parse(SUMMARY)), summary);
});

const rows: readonly {
  readonly name: string;
  readonly value: unknown;
  readonly orders: RelayedOrders | null;
}[] = [
  { name: 'nothing', value: null, orders: null },
  { name: 'a number', value: 4, orders: null },
  {
    name: 'orders without lists',
    value: { leader: 41 },
    orders: { leaderClaim: 41, transfers: [], reservations: [] },
  },
  {
    name: 'orders with fields of a later version',
    value: { ...(JSON.parse(ORDERS) as object), later: 1 },
    orders,
  },
];
for (const row of rows) {
  test(`relay codec: reads ${row.name}`, () => assert.deepEqual(readRelayedOrders(row.value), row.orders));
}
test('relay codec: a value that is not a map is not a summary', () =>
  assert.equal(readRelayedSummary(null), null));
