/** Tests of bin packing, team limits and the order of requests. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../jobs/model.js';
import { packRequests } from './bin-packing.js';
import type { PlacementRequest, AvailableCapacity } from './placement-model.js';
import { inPlacementOrder } from './placement-order.js';
import { tasksWithinLimit, type TeamLimit } from './team-limits.js';
import { jobSpec } from '../testing/bodies.js';

const spec = (overrides: Partial<JobSpec>): JobSpec =>
  jobSpec('job-1', {
    jobClass: 'k',
    team: 't',
    kind: 'array',
    priority: 1,
    tasks: 1,
    cpus: 8,
    gpus: 1,
    memoryGb: 8,
    estimateS: 10,
    ...overrides,
  });
const request = (
  overrides: Partial<JobSpec>,
  requestOverrides: Partial<PlacementRequest> = {},
): PlacementRequest => {
  const requested = spec(overrides);
  return {
    job: requested.id,
    spec: requested,
    waiting: Array.from({ length: requested.tasks }, (_, index) => index),
    tasksByZone: new Map(),
    failedOn: new Set(),
    waitingSince: 0,
    withinGuarantee: false,
    missedStartTargets: 0,
    urgency: { place: false, provision: false },
    mayUseOnDemand: true,
    hasAlternatives: requested.spot,
    hasReservation: false,
    ...requestOverrides,
  };
};
const capacity = (
  id: string,
  zone: string,
  freeGpus: number,
  overrides: Partial<AvailableCapacity> = {},
): AvailableCapacity => ({
  id,
  type: 'g',
  zone,
  spot: false,
  total: { cpus: 64, gpus: 8, memoryGb: 64 },
  free: { cpus: freeGpus * 8, gpus: freeGpus, memoryGb: freeGpus * 8 },
  leftover: { cpus: 0, gpus: 0, memoryGb: 0 },
  images: new Set(),
  live: true,
  withheldFromSpotWork: 'never',
  reservedFor: null,
  empty: false,
  ...overrides,
});
const LIMIT: TeamLimit = { cpusMax: 0, gpusMax: 100 };

const rows: readonly {
  name: string;
  requests: readonly PlacementRequest[];
  capacities: readonly AvailableCapacity[];
  limit?: TeamLimit;
  used?: number;
  assignments: readonly string[];
}[] = [
  {
    name: 'a gang is not placed when all but one of its tasks fit',
    requests: [request({ kind: 'gang', tasks: 4, gpus: 8, cpus: 64 })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'x', 8), capacity('c', 'y', 8)],
    assignments: [],
  },
  {
    name: 'a one-zone gang does not combine capacity of two zones',
    requests: [request({ kind: 'gang', tasks: 3, gpus: 8, cpus: 64, oneZone: true })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'x', 8), capacity('c', 'y', 8)],
    assignments: [],
  },
  {
    name: 'a one-zone gang is placed in the fullest zone in which it fits',
    requests: [request({ kind: 'gang', tasks: 1, gpus: 8, cpus: 64, oneZone: true })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'x', 8), capacity('c', 'y', 8), capacity('d', 'y', 2)],
    assignments: ['job-1/0@c'],
  },
  {
    name: 'equally full zones are used in the order of their names',
    requests: [request({ kind: 'gang', tasks: 1, gpus: 8, cpus: 64, oneZone: true })],
    capacities: [capacity('b', 'y', 8), capacity('a', 'x', 8)],
    assignments: ['job-1/0@a'],
  },
  {
    name: 'a spread job puts at most half, rounded up, in one zone',
    requests: [request({ kind: 'array', tasks: 5, spread: true })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'y', 1)],
    assignments: ['job-1/0@b', 'job-1/1@a', 'job-1/2@a', 'job-1/3@a'],
  },
  {
    name: 'tasks that may still be in a zone count for a spread job',
    requests: [request({ tasks: 2, spread: true }, { waiting: [1], tasksByZone: new Map([['x', 1]]) })],
    capacities: [capacity('a', 'x', 8)],
    assignments: [],
  },
  {
    name: 'a one-zone array stays in the zone that holds its tasks',
    requests: [request({ tasks: 2, oneZone: true }, { waiting: [1], tasksByZone: new Map([['y', 1]]) })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'y', 1)],
    assignments: ['job-1/1@b'],
  },
  {
    name: 'a job gets no spot machine if it does not allow spot, and no machine on which it failed',
    requests: [request({ tasks: 2 }, { failedOn: new Set(['b']) })],
    capacities: [capacity('a', 'x', 8, { spot: true }), capacity('b', 'x', 8), capacity('c', 'x', 1)],
    assignments: ['job-1/0@c'],
  },
  {
    name: 'work that may use spot machines gets no on-demand machine before it may use them',
    requests: [request({ tasks: 3, spot: true }, { mayUseOnDemand: false })],
    capacities: [capacity('a', 'x', 8), capacity('b', 'x', 2, { spot: true })],
    assignments: ['job-1/0@b', 'job-1/1@b'],
  },
  {
    name: 'work that may use spot machines gets no free capacity of withheld machines',
    requests: [request({ tasks: 3, spot: true })],
    capacities: [
      capacity('a', 'x', 8, { withheldFromSpotWork: 'always' }),
      capacity('b', 'x', 2, { spot: true }),
    ],
    assignments: ['job-1/0@b', 'job-1/1@b'],
  },
  // Guards against two faults: CPU work occupied GPU machines that gangs need whole, or the leftover capacity
  // beside gangs stayed unused.
  {
    name: 'spot work uses the leftover capacity of withheld machines at once',
    requests: [request({ tasks: 3, spot: true }, { mayUseOnDemand: false })],
    capacities: [
      capacity('a', 'x', 8, {
        withheldFromSpotWork: 'always',
        leftover: { cpus: 16, gpus: 2, memoryGb: 16 },
      }),
    ],
    assignments: ['job-1/0@a', 'job-1/1@a'],
  },
  {
    name: 'other work with alternatives uses leftover capacity before withheld machines',
    requests: [request({ tasks: 2 }, { hasAlternatives: true })],
    capacities: [
      capacity('a', 'x', 8, { withheldFromSpotWork: 'always' }),
      capacity('b', 'x', 8, { withheldFromSpotWork: 'always', leftover: { cpus: 8, gpus: 1, memoryGb: 8 } }),
      capacity('c', 'x', 1),
    ],
    assignments: ['job-1/0@c', 'job-1/1@b'],
  },
  {
    name: 'other work with alternatives uses withheld machines if nothing else is free',
    requests: [request({ tasks: 2 }, { hasAlternatives: true })],
    capacities: [capacity('a', 'x', 8, { withheldFromSpotWork: 'always' }), capacity('c', 'x', 1)],
    assignments: ['job-1/0@c', 'job-1/1@a'],
  },
  {
    name: 'work without alternatives uses all free capacity of withheld machines',
    requests: [request({ tasks: 2 })],
    capacities: [capacity('a', 'x', 8, { withheldFromSpotWork: 'always' })],
    assignments: ['job-1/0@a', 'job-1/1@a'],
  },
  {
    name: 'the limit includes what the team uses already',
    requests: [request({ tasks: 5 })],
    capacities: [capacity('a', 'x', 8)],
    limit: { cpusMax: 0, gpusMax: 6 },
    used: 4,
    assignments: ['job-1/0@a', 'job-1/1@a'],
  },
  {
    name: 'a gang over its team limit waits, and others use the capacity',
    requests: [request({ id: 'job-1', kind: 'gang', tasks: 4 }), request({ id: 'job-2', tasks: 1 })],
    capacities: [capacity('a', 'x', 8)],
    limit: { cpusMax: 0, gpusMax: 3 },
    assignments: ['job-2/0@a'],
  },
  {
    name: 'requests like one that could not be placed are skipped in the same round, others are not',
    requests: [
      request({ id: 'job-1', kind: 'gang', tasks: 9 }),
      request({ id: 'job-2', kind: 'gang', tasks: 9 }),
      request({ id: 'job-3', kind: 'gang', tasks: 2 }),
    ],
    capacities: [capacity('a', 'x', 8)],
    assignments: ['job-3/0@a', 'job-3/1@a'],
  },
  {
    name: 'the fullest machine is used first, among machines that have the image',
    requests: [request({ tasks: 2 })],
    capacities: [
      capacity('a', 'x', 8, { images: new Set(['img']) }),
      capacity('b', 'x', 2),
      capacity('c', 'x', 1, { images: new Set(['img']) }),
    ],
    assignments: ['job-1/0@c', 'job-1/1@a'],
  },
  // Guards against small work that fills machines in use again and again, so that no machine ever becomes
  // empty for a gang.
  {
    name: 'other work gets no reserved empty machine, and spot work no reserved machine in use',
    requests: [
      request({ id: 'job-1', kind: 'gang' }),
      request({ id: 'job-2', kind: 'gang', tasks: 2, gpus: 8, cpus: 64 }),
      request({ id: 'job-3', spot: true }),
      request({ id: 'job-4', priority: 2 }),
    ],
    capacities: [
      capacity('a', 'x', 8, { empty: true, reservedFor: { job: 'job-9', priority: 1 } }),
      capacity('b', 'x', 1, { reservedFor: { job: 'job-9', priority: 1 } }),
    ],
    assignments: ['job-1/0@b', 'job-4/0@a'],
  },
  {
    name: 'the gang with the reservation is placed first',
    requests: [
      request({ id: 'job-1', kind: 'gang', gpus: 8, cpus: 64, estimateS: 1 }),
      request({ id: 'job-9', kind: 'gang', gpus: 8, cpus: 64 }, { hasReservation: true }),
    ],
    capacities: [capacity('a', 'x', 8, { empty: true, reservedFor: { job: 'job-9', priority: 1 } })],
    assignments: ['job-9/0@a'],
  },
];
for (const row of rows) {
  test(`pack: ${row.name}`, () => {
    const usages = new Map([['t', { cpus: 0, gpus: row.used ?? 0 }]]);
    const packed = packRequests(row.requests, row.capacities, new Map([['t', row.limit ?? LIMIT]]), usages);
    assert.deepEqual(
      packed.assignments.map((put) => `${put.job}/${put.index}@${put.machine}`),
      row.assignments,
    );
  });
}

const quotas: readonly {
  name: string;
  need: { cpus: number; gpus: number };
  limit: TeamLimit;
  use: { cpus: number; gpus: number };
  room: number;
}[] = [
  {
    name: 'GPU tasks of a team without a CPU limit are bounded by the GPU limit',
    need: { cpus: 21, gpus: 4 },
    limit: { cpusMax: 0, gpusMax: 24 },
    use: { cpus: 0, gpus: 0 },
    room: 6,
  },
  {
    name: 'CPU tasks of a team without a CPU limit are not bounded',
    need: { cpus: 1, gpus: 0 },
    limit: { cpusMax: 0, gpusMax: 24 },
    use: { cpus: 70, gpus: 24 },
    room: 50,
  },
  {
    name: 'CPU tasks of a team with a CPU limit are bounded by the CPU limit',
    need: { cpus: 2, gpus: 0 },
    limit: { cpusMax: 9, gpusMax: 0 },
    use: { cpus: 4, gpus: 0 },
    room: 2,
  },
  {
    name: 'GPU tasks of a team without a GPU limit never run',
    need: { cpus: 1, gpus: 1 },
    limit: { cpusMax: 9, gpusMax: 0 },
    use: { cpus: 0, gpus: 0 },
    room: 0,
  },
  {
    name: 'tasks with CPUs and GPUs are bounded by both limits',
    need: { cpus: 2, gpus: 1 },
    limit: { cpusMax: 9, gpusMax: 8 },
    use: { cpus: 4, gpus: 1 },
    room: 2,
  },
];
for (const row of quotas) {
  test(`quota: ${row.name}`, () =>
    assert.equal(tasksWithinLimit(row.need, row.limit, row.use, 50), row.room));
}

const orders: readonly { name: string; requests: readonly PlacementRequest[]; expect: readonly string[] }[] =
  [
    {
      name: 'priority, then no spot machines, guarantee, missed targets, shortest estimate, deadline, longest wait',
      requests: [
        request({ id: 'old' }, { waitingSince: 1, missedStartTargets: 1 }),
        request({ id: 'short', estimateS: 5 }, { waitingSince: 9 }),
        request({ id: 'older' }, { waitingSince: 2 }),
        request({ id: 'newer' }, { waitingSince: 3 }),
        request({ id: 'due', deadlineS: 60 }, { waitingSince: 7 }),
        request({ id: 'spot', spot: true }, { waitingSince: 0, withinGuarantee: true }),
        request({ id: 'owed' }, { waitingSince: 8, withinGuarantee: true, missedStartTargets: 2 }),
        request({ id: 'urgent', priority: 2, spot: true }, { waitingSince: 99 }),
      ],
      expect: ['urgent', 'owed', 'short', 'due', 'older', 'newer', 'old', 'spot'],
    },
  ];
for (const row of orders) {
  test(`order: ${row.name}`, () =>
    assert.deepEqual(
      inPlacementOrder(row.requests).map((entry) => entry.job),
      row.expect,
    ));
}
