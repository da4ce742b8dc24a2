/**
 * Guards against shortening that never ends: a class of demand, or counts of spare machines, that alone
 * exceed the largest value stopped the whole controller.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { VALUE_FILL_FRACTION } from '../constants/key-value-store.js';
import type { Reservation } from '../fleet/reservation.js';
import type { ShardSummary, UnlistedSpares, UnmetDemand, WaitingGang } from '../fleet/shard-summary.js';
import { runWithTimeout } from '../testing/bounded-run.js';
import type { RelayedOrders } from './orders.js';
import { fitOrders, fitSummary, shortenOrders, shortenSummary } from './relay-size.js';

/** ms: far beyond what the largest of these takes. */
const TIMEOUT_MS = 5_000;
const RUNS = 300;
const SEED = 20_261_203;
const KIB = 1_024;
/** Bytes of values: too small for anything, the smallest and the usual ones of the platform. */
const VALUE_SIZES = [1, 60, 200, KIB, 2 * KIB, 8 * KIB, 16 * KIB];

const bytesOf = (stored: unknown): number => Buffer.byteLength(JSON.stringify(stored));

const name = fc.string({ minLength: 1, maxLength: 256, unit: 'grapheme' });
const anyGang: fc.Arbitrary<WaitingGang> = fc.record({
  job: name,
  tasks: fc.nat({ max: 100_000 }),
  waitedMs: fc.double({ min: 0, max: 1e7, noNaN: true }),
  reserveAfterMs: fc.nat(),
});
const anyDemand: fc.Arbitrary<UnmetDemand> = fc.record({
  cpus: fc.nat(),
  gpus: fc.nat(),
  memoryGb: fc.double({ min: 0, max: 1e4, noNaN: true }),
  types: fc.option(fc.array(name, { maxLength: 60 })),
  zone: fc.option(name),
  spot: fc.boolean(),
  gang: fc.boolean(),
  oneZone: fc.boolean(),
  urgent: fc.boolean(),
  priority: fc.nat({ max: 3 }),
  tasks: fc.nat({ max: 100_000 }),
  gangs: fc.array(anyGang, { maxLength: 30 }),
  zoneCapacity: fc.dictionary(name, fc.nat(), { maxKeys: 20 }),
  waitedMs: fc.nat(),
});
const anyUnlisted: fc.Arbitrary<UnlistedSpares> = fc.record({
  type: name,
  zone: name,
  spot: fc.boolean(),
  count: fc.nat(),
});
const anySummary: fc.Arbitrary<ShardSummary> = fc.record(
  {
    shardId: fc.nat({ max: 8 }),
    claim: fc.nat(),
    revision: fc.nat(),
    needs: fc.array(anyDemand, { maxLength: 40 }),
    spares: fc.array(fc.record({ id: name, type: name, zone: name, spot: fc.boolean(), idleS: fc.nat() }), {
      maxLength: 100,
    }),
    unlisted: fc.array(anyUnlisted, { maxLength: 40 }),
  },
  { requiredKeys: ['shardId', 'claim', 'revision', 'needs', 'spares'] },
);
const anyReservation: fc.Arbitrary<Reservation> = fc.record({
  shardId: fc.nat({ max: 8 }),
  job: name,
  zone: name,
  spot: fc.boolean(),
  types: fc.option(fc.array(name, { maxLength: 60 })),
  cpus: fc.nat(),
  gpus: fc.nat(),
  memoryGb: fc.nat(),
  tasks: fc.nat(),
  priority: fc.nat({ max: 3 }),
  ageMs: fc.nat(),
});
const anyOrders: fc.Arbitrary<RelayedOrders> = fc.record({
  leaderClaim: fc.nat(),
  transfers: fc.array(fc.record({ machine: name, to: fc.nat({ max: 8 }) }), { maxLength: 200 }),
  reservations: fc.array(anyReservation, { maxLength: 40 }),
});
const anyValueBytes = fc.oneof(fc.constantFrom(...VALUE_SIZES), fc.integer({ min: 1, max: 16 * KIB }));

const repeat = <Entry>(count: number, create: (index: number) => Entry): readonly Entry[] =>
  Array.from({ length: count }, (_, index) => create(index));

const demandOf = (over: Partial<UnmetDemand>): UnmetDemand => ({
  cpus: 21,
  gpus: 4,
  memoryGb: 120,
  types: null,
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
  ...over,
});
const gangs = repeat(8, (index): WaitingGang => ({
  job: `job-${String(index).padStart(18, '0')}`,
  tasks: 8,
  waitedMs: 90_000,
  reserveAfterMs: 30_000,
}));
/** Four types in three zones, ordinary and spot. */
const kinds = repeat(24, (index): UnlistedSpares => ({
  type: `machine-type-${index % 4}`,
  zone: `hobart-north-${index % 3}`,
  spot: index < 12,
  count: 40,
}));
const summaryOf = (over: Partial<ShardSummary>): ShardSummary => ({
  shardId: 1,
  claim: 2,
  revision: 3,
  needs: [],
  spares: [],
  ...over,
});

const rows: readonly {
  name: string;
  summary: ShardSummary;
  valueBytes: number;
  /** What is left of each list; null: nothing fits. */
  left: { needs: number; gangs: number; unlisted: number } | null;
}[] = [
  {
    name: 'one class of demand that names many machine types is left out',
    summary: summaryOf({
      needs: [demandOf({ types: repeat(200, (index) => `machine-type-${index}`), gangs })],
    }),
    valueBytes: 2 * KIB,
    left: { needs: 0, gangs: 0, unlisted: 0 },
  },
  {
    name: 'one class with few gangs beside counts of spares: the counts go first',
    summary: summaryOf({ needs: [demandOf({ gangs })], unlisted: kinds }),
    valueBytes: 2 * KIB,
    left: { needs: 1, gangs: 8, unlisted: 6 },
  },
  {
    name: 'one class whose gangs alone are too long keeps the first of them',
    summary: summaryOf({ needs: [demandOf({ gangs })] }),
    valueBytes: 800,
    left: { needs: 1, gangs: 4, unlisted: 0 },
  },
  {
    name: 'counts of spares alone are shortened',
    summary: summaryOf({ unlisted: repeat(40, () => ({ type: 'g', zone: 'x', spot: false, count: 1 })) }),
    valueBytes: KIB,
    left: { needs: 0, gangs: 0, unlisted: 10 },
  },
  {
    name: 'a value that holds nothing at all',
    summary: summaryOf({ needs: [demandOf({ gangs })] }),
    valueBytes: 20,
    left: null,
  },
];
for (const row of rows) {
  test(`relay size: ${row.name}`, () => {
    const short = runWithTimeout(TIMEOUT_MS, () => shortenSummary(row.summary, row.valueBytes));
    const fit = fitSummary(row.summary, row.valueBytes);
    assert.equal(fit._tag, row.left === null ? 'tooLarge' : 'fits');
    if (row.left === null) return;
    const left = {
      needs: short.needs.length,
      gangs: short.needs.flatMap((need) => need.gangs).length,
      unlisted: short.unlisted?.length ?? 0,
    };
    assert.deepEqual(left, row.left);
  });
}

test('relay size: what a summary lost is told by list', () => {
  const summary = summaryOf({ needs: [demandOf({ gangs })], unlisted: kinds });
  const fit = runWithTimeout(TIMEOUT_MS, () => fitSummary(summary, 2 * KIB));
  assert.deepEqual(fit._tag === 'fits' && fit.omitted, { unlisted: 18 });
  const whole = fitSummary(summary, 16 * KIB);
  assert.deepEqual(whole._tag === 'fits' && whole.omitted, {});
});

test('relay size: any summary and any value: shortening ends, and the result fits or is said not to', () => {
  fc.assert(
    fc.property(anySummary, anyValueBytes, (summary, valueBytes) => {
      const short = runWithTimeout(TIMEOUT_MS, () => shortenSummary(summary, valueBytes));
      const fit = fitSummary(summary, valueBytes);
      const isEmpty = short.needs.length + short.spares.length + (short.unlisted?.length ?? 0) === 0;
      if (fit._tag === 'fits') assert.ok(bytesOf(fit.stored) <= valueBytes * VALUE_FILL_FRACTION);
      else assert.ok(isEmpty, 'something is left that could go');
    }),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  );
});

test('relay size: any orders and any value: shortening ends, and the result fits or is said not to', () => {
  fc.assert(
    fc.property(anyOrders, anyValueBytes, (orders, valueBytes) => {
      const short = runWithTimeout(TIMEOUT_MS, () => shortenOrders(orders, valueBytes));
      const fit = fitOrders(orders, valueBytes);
      const isEmpty = short.transfers.length + short.reservations.length === 0;
      if (fit._tag === 'fits') assert.ok(bytesOf(fit.stored) <= valueBytes * VALUE_FILL_FRACTION);
      else assert.ok(isEmpty, 'something is left that could go');
    }),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  );
});
