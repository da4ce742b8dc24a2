import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Catalog } from '../jobs/model.js';
import { Budget } from '../store/budget.js';
import { planSteps } from './plan.js';
import type { Need, Spare, Summary } from './records.js';

const catalog: Catalog = new Map([
  [
    'small',
    {
      name: 'small',
      cpus: 8,
      gpus: 2,
      memoryGb: 64,
      cacheGb: 10,
      price: 6,
      spotPrice: 2,
      bootS: 40,
      zones: ['a', 'b'],
    },
  ],
  [
    'large',
    {
      name: 'large',
      cpus: 16,
      gpus: 4,
      memoryGb: 128,
      cacheGb: 10,
      price: 8,
      spotPrice: 3,
      bootS: 40,
      zones: ['a', 'b'],
    },
  ],
]);
const need = (over: Partial<Need>): Need => ({
  cpus: 4,
  gpus: 1,
  memoryGb: 16,
  types: null,
  zone: null,
  spot: true,
  gang: false,
  oneZone: false,
  urgent: false,
  priority: 1,
  tasks: 4,
  sizes: [],
  room: {},
  waitedMs: 0,
  ...over,
});
const spare = (id: string, over: Partial<Spare> = {}): Spare => ({
  id,
  type: 'large',
  zone: 'a',
  spot: true,
  idleS: 1,
  ...over,
});
const summary = (share: number, needs: readonly Need[], spares: readonly Spare[] = []): Summary => ({
  share,
  claim: 1,
  revision: 1,
  needs,
  spares,
});

const rows: readonly {
  name: string;
  summaries: readonly Summary[];
  refused?: readonly string[];
  expect: readonly string[];
}[] = [
  {
    name: 'the cheapest for each task',
    summaries: [summary(0, [need({})])],
    expect: ['rent 0 large a spot 1'],
  },
  {
    name: 'a free machine of another share first',
    summaries: [summary(0, [need({})]), summary(1, [], [spare('m')])],
    expect: ['move m 1>0'],
  },
  {
    name: 'not one that the need may not use',
    summaries: [summary(0, [need({ spot: false })]), summary(1, [], [spare('m')])],
    expect: ['rent 0 large a ordinary 1'],
  },
  {
    name: 'where capacity was refused, the next best',
    summaries: [summary(0, [need({})])],
    refused: ['large a true'],
    expect: ['rent 0 large b spot 1'],
  },
  {
    name: 'work that may use spot waits for it rather than take ordinary ones',
    summaries: [summary(0, [need({})])],
    refused: ['large a true', 'large b true', 'small a true', 'small b true'],
    expect: [],
  },
  {
    name: 'unless a target is at stake, and then fills them',
    summaries: [summary(0, [need({ urgent: true, tasks: 6 })])],
    refused: ['large a true', 'large b true', 'small a true', 'small b true'],
    expect: ['rent 0 large a ordinary 1'],
  },
  {
    name: 'a one-zone gang is completed in the zone that lacks least',
    summaries: [
      summary(0, [
        need({
          spot: false,
          gang: true,
          oneZone: true,
          gpus: 4,
          cpus: 16,
          tasks: 3,
          sizes: [3],
          room: { b: 2 },
        }),
      ]),
    ],
    expect: ['rent 0 large b ordinary 1'],
  },
  {
    name: 'a gang larger than any share is gathered from several',
    summaries: [
      summary(0, [
        need({ gang: true, oneZone: true, gpus: 4, cpus: 16, tasks: 3, sizes: [3], room: { a: 1 } }),
      ]),
      summary(1, [], [spare('m')]),
      summary(2, [], [spare('n')]),
    ],
    expect: ['move m 1>0', 'move n 2>0'],
  },
  {
    name: 'shares rent together',
    summaries: [summary(0, [need({})]), summary(1, [need({})])],
    expect: ['rent 0,1 large a spot 2'],
  },
];
for (const row of rows) {
  test(`plan: ${row.name}`, () => {
    const steps = planSteps({
      summaries: row.summaries,
      catalog,
      refused: (type, zone, spot) => row.refused?.includes(`${type} ${zone} ${spot}`) ?? false,
    });
    assert.deepEqual(
      steps.map((step) =>
        step._tag === 'move'
          ? `move ${step.machine} ${step.from}>${step.to}`
          : `rent ${step.shares.join()} ${step.type} ${step.zone} ${step.spot ? 'spot' : 'ordinary'} ${step.count}`,
      ),
      row.expect,
    );
  });
}

test('budget: renewals pass when background work and users have used theirs', () => {
  let now = 0;
  const budget = new Budget(100, 0.35, 1_000, () => now);
  assert.equal(budget.tryTake(65, 'work'), true);
  assert.equal(budget.tryTake(1, 'work'), false);
  assert.equal(budget.tryTake(35, 'user'), true);
  assert.equal(budget.tryTake(1, 'user'), false);
  assert.equal(budget.tryTake(5, 'vital'), true);
  now += 500;
  assert.equal(budget.tryTake(1, 'work'), true);
});
