/** Tests of what is kept of orders and summaries that exceed the largest value of the key-value store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import { MAX_RELAYED_GANGS_PER_DEMAND, MIN_RELAYED_RESERVATIONS } from '../constants/peers.js';
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary, UnmetDemand } from '../fleet/shard-summary.js';
import type { RelayedOrders } from './orders.js';
import { writeRelayedOrders } from './relay-codec.js';
import { shortenOrders, shortenSummary } from './relay-size.js';
import { writeSummary } from './summary-codec.js';

const VALUE_BYTES = 8_192;

const bytesOf = (stored: unknown): number => Buffer.byteLength(JSON.stringify(stored));

const repeat = <Entry>(count: number, create: (index: number) => Entry): readonly Entry[] =>
  Array.from({ length: count }, (_, index) => create(index));

const reservationOf = (index: number): Reservation => ({
  shardId: 1,
  job: `job-${index}`,
  zone: 'x',
  spot: false,
  types: null,
  cpus: 1,
  gpus: 2,
  memoryGb: 3,
  tasks: 4,
  priority: 0,
  ageMs: 5,
});
const ordersOf = (transfers: number, reservations: number): RelayedOrders => ({
  leaderClaim: 7,
  transfers: repeat(transfers, (index) => ({ machine: `i-${index}`, to: 1 })),
  reservations: repeat(reservations, reservationOf),
});

const demandOf = (index: number): UnmetDemand => ({
  cpus: index,
  gpus: 0,
  memoryGb: 1,
  types: null,
  zone: null,
  spot: false,
  gang: true,
  oneZone: false,
  urgent: false,
  priority: 1,
  tasks: 2,
  gangs: repeat(20, (gang) => ({ job: `job-${gang}`, tasks: 1, waitedMs: 1, reserveAfterMs: 1 })),
  zoneCapacity: {},
  waitedMs: 1,
});
const summaryOf = (needs: number, spares: number): ShardSummary => ({
  shardId: 1,
  claim: 2,
  revision: 3,
  needs: repeat(needs, demandOf),
  spares: repeat(spares, (index) => ({ id: `i-${index}`, type: 'g', zone: 'x', spot: false, idleS: 1 })),
});

test('relay size: orders that fit are not changed', () => {
  const orders = ordersOf(10, 3);
  assert.equal(shortenOrders(orders, VALUE_BYTES), orders);
});

test('relay size: too large orders keep the first transfers, and all reservations if few', () => {
  const orders = ordersOf(1_000, MIN_RELAYED_RESERVATIONS);
  const shortened = shortenOrders(orders, VALUE_BYTES);
  assert.ok(bytesOf(writeRelayedOrders(shortened)) <= VALUE_BYTES * VALUE_FILL_FRACTION);
  assert.ok(shortened.transfers.length > 0);
  assert.deepEqual(shortened.transfers, orders.transfers.slice(0, shortened.transfers.length));
  assert.deepEqual(shortened.reservations, orders.reservations);
});

test('relay size: orders with reservations alone are shortened too', () => {
  const orders = ordersOf(0, 400);
  const shortened = shortenOrders(orders, VALUE_BYTES);
  assert.ok(bytesOf(writeRelayedOrders(shortened)) <= VALUE_BYTES * VALUE_FILL_FRACTION);
  assert.deepEqual(shortened.reservations, orders.reservations.slice(0, shortened.reservations.length));
});

test('relay size: a summary that fits is not changed', () => {
  const summary = summaryOf(1, 3);
  assert.equal(shortenSummary(summary, VALUE_BYTES), summary);
});

test('relay size: a summary that is too large keeps the first demands, with fewer gangs, and spares', () => {
  const summary = summaryOf(40, 100);
  const shortened = shortenSummary(summary, VALUE_BYTES);
  assert.ok(bytesOf(writeSummary(shortened)) <= VALUE_BYTES * VALUE_FILL_FRACTION);
  assert.ok(shortened.needs.length > 0 && shortened.spares.length > 0);
  assert.deepEqual(
    shortened.needs.map((need) => need.cpus),
    repeat(shortened.needs.length, (index) => index),
  );
  for (const need of shortened.needs) assert.equal(need.gangs.length, MAX_RELAYED_GANGS_PER_DEMAND);
  assert.deepEqual(shortened.spares, summary.spares.slice(0, shortened.spares.length));
});
