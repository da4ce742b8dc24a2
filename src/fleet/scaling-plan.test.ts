/** Tests of the scaling plan, and of the rate limiter that bounds what follows from it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Catalog } from '../jobs/model.js';
import { RateLimiter } from '../kv-store/rate-limiter.js';
import type { PendingTransfer } from './machine-transfer.js';
import type { Reservation } from './reservation.js';
import { planScaling } from './scaling-plan.js';
import type { ShardSummary, SpareMachine, UnmetDemand, WaitingGang } from './shard-summary.js';

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
const gang = (tasks: number, waitedMs = 0, job = `job-${tasks}`): WaitingGang => ({
  job,
  tasks,
  waitedMs,
  reserveAfterMs: 8_000,
});
const need = (over: Partial<UnmetDemand>): UnmetDemand => ({
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
  gangs: [],
  zoneCapacity: {},
  waitedMs: 0,
  ...over,
});
const spare = (id: string, over: Partial<SpareMachine> = {}): SpareMachine => ({
  id,
  type: 'large',
  zone: 'a',
  spot: true,
  idleS: 1,
  ...over,
});
const summary = (
  shardId: number,
  needs: readonly UnmetDemand[],
  spares: readonly SpareMachine[] = [],
): ShardSummary => ({
  shardId,
  claim: 1,
  revision: 1,
  needs,
  spares,
});

const full = ['large a false', 'large b false', 'small a false', 'small b false'];
const whole = (over: Partial<UnmetDemand>): UnmetDemand =>
  need({ spot: false, gang: true, oneZone: true, gpus: 4, cpus: 16, ...over });
const reservation = (over: Partial<Reservation>): Reservation => ({
  shardId: 0,
  job: 'job-4',
  zone: 'b',
  spot: false,
  types: null,
  cpus: 16,
  gpus: 4,
  memoryGb: 16,
  tasks: 4,
  priority: 1,
  ageMs: 1_000,
  ...over,
});

const rows: readonly {
  name: string;
  summaries: readonly ShardSummary[];
  refused?: readonly string[];
  machines?: Readonly<Record<string, number>>;
  reservations?: readonly Reservation[];
  outdatedShards?: readonly number[];
  pendingTransfers?: readonly PendingTransfer[];
  expect: readonly string[];
}[] = [
  {
    name: 'the cheapest for each task',
    summaries: [summary(0, [need({})])],
    expect: ['rent 0 large a spot 1'],
  },
  {
    name: 'a spare machine of another shard first',
    summaries: [summary(0, [need({})]), summary(1, [], [spare('m')])],
    expect: ['move m 1>0'],
  },
  // A summary names a few dozen spares of a kind; those beyond must not be provisioned anew.
  {
    name: 'also where the other shard has more than it names',
    summaries: [
      summary(0, [need({ tasks: 1_000 })]),
      {
        ...summary(1, [], [spare('m')]),
        unlisted: [{ type: 'large', zone: 'a', spot: true, count: 300 }],
      },
    ],
    expect: ['move m 1>0'],
  },
  {
    name: 'and new ones for what is missing beyond those',
    summaries: [
      summary(0, [need({ tasks: 20 })]),
      {
        ...summary(1, [], [spare('m')]),
        unlisted: [{ type: 'large', zone: 'a', spot: true, count: 3 }],
      },
    ],
    expect: ['move m 1>0', 'rent 0 large a spot 1'],
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
          gangs: [gang(3)],
          zoneCapacity: { b: 2 },
        }),
      ]),
    ],
    expect: ['rent 0 large b ordinary 1'],
  },
  {
    name: 'a gang larger than any shard is gathered from several',
    summaries: [
      summary(0, [
        need({
          gang: true,
          oneZone: true,
          gpus: 4,
          cpus: 16,
          tasks: 3,
          gangs: [gang(3)],
          zoneCapacity: { a: 1 },
        }),
      ]),
      summary(1, [], [spare('m')]),
      summary(2, [], [spare('n')]),
    ],
    expect: ['move m 1>0', 'move n 2>0', 'hold a 0 job-3'],
  },
  // Else smaller jobs of its priority take whatever comes free first, and the largest gangs wait for ever.
  {
    name: 'a gang that no zone has room for, nor the cloud, has machines gathered in one',
    summaries: [
      summary(0, [whole({ gangs: [gang(4, 20_000)] })]),
      summary(1, [], [spare('m', { zone: 'b', spot: false })]),
    ],
    refused: full,
    machines: { 'large a': 3, 'large b': 5 },
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  {
    name: 'not at once: the next few to come free may be enough',
    summaries: [summary(0, [whole({ gangs: [gang(4, 2_000)] })])],
    refused: full,
    machines: { 'large b': 5 },
    expect: [],
  },
  {
    name: 'one gang a zone, the one that has waited longest: two would block each other',
    summaries: [
      summary(0, [whole({ gangs: [gang(4, 20_000), gang(5, 30_000)] })]),
      summary(1, [whole({ gangs: [gang(3, 25_000)] })]),
    ],
    refused: full,
    machines: { 'large a': 4, 'large b': 6 },
    expect: ['hold b 0 job-5', 'hold a 1 job-3'],
  },
  {
    name: 'a gang that is being gathered for keeps its zone, though another waits longer',
    summaries: [
      summary(0, [whole({ gangs: [gang(4, 20_000)] })]),
      summary(1, [whole({ gangs: [gang(5, 90_000)] })], [spare('m', { zone: 'b', spot: false })]),
    ],
    refused: full,
    machines: { 'large b': 6 },
    reservations: [reservation({})],
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  {
    name: 'but not for ever',
    summaries: [summary(0, [whole({ gangs: [gang(4, 20_000)] })], [])],
    refused: full,
    machines: { 'large a': 5, 'large b': 6 },
    reservations: [reservation({ ageMs: 200_000 })],
    expect: ['hold a 0 job-4'],
  },
  {
    name: 'a zone that could never run it is not reserved',
    summaries: [summary(0, [whole({ gangs: [gang(4, 20_000)] })])],
    refused: full,
    machines: { 'large a': 3, 'large b': 3 },
    expect: [],
  },
  // Else what was gathered for a gang goes to the next one each time machines are provisioned for its shard.
  {
    name: 'a shard whose summary does not show its new machines keeps its reservation, and gets no more',
    summaries: [
      summary(0, [whole({ gangs: [gang(4, 20_000)] }), need({})]),
      summary(1, [whole({ gangs: [gang(3, 50_000)] })], [spare('m', { zone: 'b', spot: false })]),
    ],
    outdatedShards: [0],
    refused: full,
    machines: { 'large b': 6 },
    reservations: [reservation({})],
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  // Else a gang changes its zone each time machines on their way show nowhere.
  {
    name: 'machines on their way count where they go, and are not ordered elsewhere',
    summaries: [
      summary(0, [whole({ gangs: [gang(2, 20_000)] })]),
      summary(1, [whole({ gangs: [gang(1, 5_000)] })]),
      summary(2, [], [spare('n', { zone: 'b', spot: false }), spare('m', { zone: 'b', spot: false })]),
    ],
    refused: full,
    machines: { 'large a': 6, 'large b': 6 },
    reservations: [reservation({ job: 'job-2', tasks: 2 })],
    pendingTransfers: [
      { machine: 'm', to: 0, type: 'large', zone: 'b', spot: false },
      { machine: 'x', to: 0, type: 'large', zone: 'b', spot: false },
    ],
    expect: ['hold b 0 job-2'],
  },
  {
    name: 'shards get machines of one kind in one request',
    summaries: [summary(0, [need({})]), summary(1, [need({})])],
    expect: ['rent 0,1 large a spot 2'],
  },
];
for (const row of rows) {
  test(`plan: ${row.name}`, () => {
    const { steps, reservations } = planScaling({
      summaries: row.summaries,
      catalog,
      isRefused: (type, zone, spot) => row.refused?.includes(`${type} ${zone} ${spot}`) ?? false,
      machineCount: (type, zone) => row.machines?.[`${type} ${zone}`] ?? 0,
      reservations: row.reservations ?? [],
      outdatedShards: new Set(row.outdatedShards ?? []),
      pendingTransfers: row.pendingTransfers ?? [],
    });
    assert.deepEqual(
      [
        ...steps.map((step) =>
          step._tag === 'transfer'
            ? `move ${step.machine} ${step.from}>${step.to}`
            : `rent ${step.shardIds.join()} ${step.type} ${step.zone} ${step.spot ? 'spot' : 'ordinary'} ${step.shardIds.length}`,
        ),
        ...reservations.map(
          (reservation) => `hold ${reservation.zone} ${reservation.shardId} ${reservation.job}`,
        ),
      ],
      row.expect,
    );
  });
}

// Users and renewals never leave the bucket full: a batch as large as it would be refused for minutes, and
// machines would stand idle beside waiting work.
test('budget: a batch as large as the bucket passes beside steady small calls, and is paid for', () => {
  let now = 0;
  const budget = new RateLimiter(12, 0.35, 2_000, () => now);
  let batches = 0;
  let users = 0;
  for (; now < 60_000; now += 100) {
    if (now % 300 === 0 && budget.tryTake(1, 'user')) users += 1;
    if (budget.tryTake(12, 'work')) batches += 1;
  }
  assert.ok(batches >= 20, `${batches} batches`);
  assert.ok(users * 1 + batches * 12 <= 12 * 61 + 12, 'no more than the rate in all');
});

test('budget: renewals pass when background work and users have used theirs', () => {
  let now = 0;
  const budget = new RateLimiter(100, 0.35, 1_000, () => now);
  assert.equal(budget.tryTake(65, 'work'), true);
  assert.equal(budget.tryTake(1, 'work'), false);
  assert.equal(budget.tryTake(35, 'user'), true);
  assert.equal(budget.tryTake(1, 'user'), false);
  assert.equal(budget.tryTake(5, 'vital'), true);
  now += 500;
  assert.equal(budget.tryTake(1, 'work'), true);
});
