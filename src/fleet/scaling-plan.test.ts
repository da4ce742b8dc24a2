/** Tests of the scaling plan, and of the rate limiter that bounds the requests that follow from it. */
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
const unmetDemand = (overrides: Partial<UnmetDemand>): UnmetDemand => ({
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
  ...overrides,
});
const spare = (id: string, overrides: Partial<SpareMachine> = {}): SpareMachine => ({
  id,
  type: 'large',
  zone: 'a',
  spot: true,
  idleS: 1,
  ...overrides,
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

const allRefused = ['large a false', 'large b false', 'small a false', 'small b false'];
const wholeMachineGang = (overrides: Partial<UnmetDemand>): UnmetDemand =>
  unmetDemand({ spot: false, gang: true, oneZone: true, gpus: 4, cpus: 16, ...overrides });
const reservation = (overrides: Partial<Reservation>): Reservation => ({
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
  ...overrides,
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
    name: 'provisions the kind with the lowest price per task',
    summaries: [summary(0, [unmetDemand({})])],
    expect: ['rent 0 large a spot 1'],
  },
  {
    name: 'transfers a spare machine of another shard rather than provisioning',
    summaries: [summary(0, [unmetDemand({})]), summary(1, [], [spare('m')])],
    expect: ['move m 1>0'],
  },
  // A summary lists a few dozen spares of a kind; machines must not be provisioned in place of the others.
  {
    name: 'provisions nothing if another shard has enough unlisted spares',
    summaries: [
      summary(0, [unmetDemand({ tasks: 1_000 })]),
      {
        ...summary(1, [], [spare('m')]),
        unlisted: [{ type: 'large', zone: 'a', spot: true, count: 300 }],
      },
    ],
    expect: ['move m 1>0'],
  },
  {
    name: 'provisions what listed and unlisted spares do not cover',
    summaries: [
      summary(0, [unmetDemand({ tasks: 20 })]),
      {
        ...summary(1, [], [spare('m')]),
        unlisted: [{ type: 'large', zone: 'a', spot: true, count: 3 }],
      },
    ],
    expect: ['move m 1>0', 'rent 0 large a spot 1'],
  },
  {
    name: 'does not transfer a spare machine that the demand may not use',
    summaries: [summary(0, [unmetDemand({ spot: false })]), summary(1, [], [spare('m')])],
    expect: ['rent 0 large a ordinary 1'],
  },
  {
    name: 'provisions the next kind if the cloud refused the cheapest',
    summaries: [summary(0, [unmetDemand({})])],
    refused: ['large a true'],
    expect: ['rent 0 large b spot 1'],
  },
  {
    name: 'waits for spot machines rather than provisioning on-demand ones',
    summaries: [summary(0, [unmetDemand({})])],
    refused: ['large a true', 'large b true', 'small a true', 'small b true'],
    expect: [],
  },
  {
    name: 'provisions on-demand machines for urgent spot demand, only as many as it fills',
    summaries: [summary(0, [unmetDemand({ urgent: true, tasks: 6 })])],
    refused: ['large a true', 'large b true', 'small a true', 'small b true'],
    expect: ['rent 0 large a ordinary 1'],
  },
  {
    name: 'a one-zone gang gets its machines in the zone with the fewest missing tasks',
    summaries: [
      summary(0, [
        unmetDemand({
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
    name: 'machines for a gang larger than any shard are gathered from several shards',
    summaries: [
      summary(0, [
        unmetDemand({
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
  // Otherwise smaller jobs of its priority take every machine that becomes free, and large gangs starve.
  {
    name: 'a gang without capacity in any zone or at the cloud gets a reservation in one zone',
    summaries: [
      summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000)] })]),
      summary(1, [], [spare('m', { zone: 'b', spot: false })]),
    ],
    refused: allRefused,
    machines: { 'large a': 3, 'large b': 5 },
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  {
    name: 'no reservation before the delay: machines that become free may suffice',
    summaries: [summary(0, [wholeMachineGang({ gangs: [gang(4, 2_000)] })])],
    refused: allRefused,
    machines: { 'large b': 5 },
    expect: [],
  },
  {
    name: 'reserves a zone for one gang only, the longest waiting: two would block each other',
    summaries: [
      summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000), gang(5, 30_000)] })]),
      summary(1, [wholeMachineGang({ gangs: [gang(3, 25_000)] })]),
    ],
    refused: allRefused,
    machines: { 'large a': 4, 'large b': 6 },
    expect: ['hold b 0 job-5', 'hold a 1 job-3'],
  },
  {
    name: 'a gang with a reservation keeps its zone although another has waited longer',
    summaries: [
      summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000)] })]),
      summary(1, [wholeMachineGang({ gangs: [gang(5, 90_000)] })], [spare('m', { zone: 'b', spot: false })]),
    ],
    refused: allRefused,
    machines: { 'large b': 6 },
    reservations: [reservation({})],
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  {
    name: 'a reservation that is too old moves to another zone',
    summaries: [summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000)] })], [])],
    refused: allRefused,
    machines: { 'large a': 5, 'large b': 6 },
    reservations: [reservation({ ageMs: 200_000 })],
    expect: ['hold a 0 job-4'],
  },
  {
    name: 'does not reserve a zone that could never run the gang',
    summaries: [summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000)] })])],
    refused: allRefused,
    machines: { 'large a': 3, 'large b': 3 },
    expect: [],
  },
  // Otherwise each provisioning for a gang's shard would give the machines gathered for it to the next gang.
  {
    name: 'a shard with an outdated summary keeps its reservation and gets no new machines',
    summaries: [
      summary(0, [wholeMachineGang({ gangs: [gang(4, 20_000)] }), unmetDemand({})]),
      summary(1, [wholeMachineGang({ gangs: [gang(3, 50_000)] })], [spare('m', { zone: 'b', spot: false })]),
    ],
    outdatedShards: [0],
    refused: allRefused,
    machines: { 'large b': 6 },
    reservations: [reservation({})],
    expect: ['move m 1>0', 'hold b 0 job-4'],
  },
  // Otherwise a gang changes its zone each time no summary shows the machines in transfer to its shard.
  {
    name: 'machines in transfer count for the receiving shard, and are not transferred again',
    summaries: [
      summary(0, [wholeMachineGang({ gangs: [gang(2, 20_000)] })]),
      summary(1, [wholeMachineGang({ gangs: [gang(1, 5_000)] })]),
      summary(2, [], [spare('n', { zone: 'b', spot: false }), spare('m', { zone: 'b', spot: false })]),
    ],
    refused: allRefused,
    machines: { 'large a': 6, 'large b': 6 },
    reservations: [reservation({ job: 'job-2', tasks: 2 })],
    pendingTransfers: [
      { machine: 'm', to: 0, type: 'large', zone: 'b', spot: false },
      { machine: 'x', to: 0, type: 'large', zone: 'b', spot: false },
    ],
    expect: ['hold b 0 job-2'],
  },
  {
    name: 'one request provisions the machines of one kind for all shards',
    summaries: [summary(0, [unmetDemand({})]), summary(1, [unmetDemand({})])],
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

// Users' calls and renewals keep the bucket from being full. If a batch as large as the bucket needed a full
// bucket, it would be refused for minutes, and machines would be idle while jobs wait.
test('budget: a batch as large as the bucket passes despite steady small requests, within the rate', () => {
  let now = 0;
  const rateLimiter = new RateLimiter(12, 0.35, 2_000, () => now);
  let batches = 0;
  let users = 0;
  for (; now < 60_000; now += 100) {
    if (now % 300 === 0 && rateLimiter.tryTake(1, 'user')) users += 1;
    if (rateLimiter.tryTake(12, 'work')) batches += 1;
  }
  assert.ok(batches >= 20, `${batches} batches`);
  assert.ok(users * 1 + batches * 12 <= 12 * 61 + 12, 'the total does not exceed the rate');
});

test('budget: renewals pass when background work and users have used up their tokens', () => {
  let now = 0;
  const rateLimiter = new RateLimiter(100, 0.35, 1_000, () => now);
  assert.equal(rateLimiter.tryTake(65, 'work'), true);
  assert.equal(rateLimiter.tryTake(1, 'work'), false);
  assert.equal(rateLimiter.tryTake(35, 'user'), true);
  assert.equal(rateLimiter.tryTake(1, 'user'), false);
  assert.equal(rateLimiter.tryTake(5, 'vital'), true);
  now += 500;
  assert.equal(rateLimiter.tryTake(1, 'work'), true);
});
