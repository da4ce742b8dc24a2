/** Tests of the choice of groups to stop for a job that finds no capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../jobs/model.js';
import { preempt, type EvictableGroup, type OccupiedMachine, type PreemptingJob } from './preemption.js';
import { jobSpec } from '../testing/bodies.js';

const spec = (overrides: Partial<JobSpec>): JobSpec =>
  jobSpec('job-9', {
    jobClass: 'k',
    team: 't',
    kind: 'gang',
    priority: 2,
    tasks: 1,
    cpus: 8,
    gpus: 8,
    memoryGb: 8,
    oneZone: true,
    image: 'i',
    estimateS: 1,
    ...overrides,
  });
const group = (job: string, priority: number, gpus: number, gang = false): EvictableGroup => ({
  job,
  priority,
  gang,
  tasks: gpus,
  demand: { cpus: gpus, gpus, memoryGb: gpus },
});
const machine = (
  id: string,
  zone: string,
  groups: readonly EvictableGroup[],
  spot = false,
): OccupiedMachine => {
  const used = groups.reduce((sum, entry) => sum + entry.demand.gpus, 0);
  return { id, type: 'g', zone, spot, free: { cpus: 64, gpus: 8 - used, memoryGb: 64 }, groups };
};

const waiting = (job: JobSpec, overrides: Partial<PreemptingJob> = {}): PreemptingJob => ({
  spec: job,
  count: job.tasks,
  tasksByZone: new Map(),
  failedOn: new Set(),
  ...overrides,
});

const rows: readonly {
  name: string;
  spec: JobSpec;
  overrides?: Partial<PreemptingJob>;
  machines: readonly OccupiedMachine[];
  expect: readonly string[];
}[] = [
  {
    name: 'no group of the same priority',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 2, 4)])],
    expect: [],
  },
  {
    name: 'no group if the job could not start',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 2, 4), group('j2', 0, 4)])],
    expect: [],
  },
  {
    name: 'the group of the lowest priority',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 1, 8)]), machine('b', 'x', [group('j2', 0, 8)])],
    expect: ['j2@b'],
  },
  {
    name: 'the fewest groups',
    spec: spec({}),
    machines: [
      machine('a', 'x', [group('j1', 1, 4), group('j2', 1, 4)]),
      machine('b', 'x', [group('j3', 1, 8)]),
    ],
    expect: ['j3@b'],
  },
  {
    name: 'the smallest group',
    spec: spec({ gpus: 4 }),
    machines: [machine('a', 'x', [group('j1', 1, 8)]), machine('b', 'x', [group('j2', 1, 5)])],
    expect: ['j2@b'],
  },
  {
    name: 'no group more than needed',
    spec: spec({ gpus: 4 }),
    machines: [machine('a', 'x', [group('j1', 1, 2), group('j2', 1, 6)])],
    expect: ['j2@a'],
  },
  {
    name: 'no group for a one-zone gang that does not fit into one zone',
    spec: spec({ tasks: 2 }),
    machines: [machine('a', 'x', [group('j1', 1, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: [],
  },
  {
    name: 'a gang counts as one group on all its machines',
    spec: spec({ tasks: 2 }),
    machines: [
      machine('a', 'x', [group('j1', 1, 8, true)]),
      machine('b', 'x', [group('j1', 1, 8, true)]),
      machine('c', 'y', [group('j2', 1, 8)]),
      machine('d', 'y', [group('j3', 1, 8)]),
    ],
    expect: ['j1@a'],
  },
  {
    name: 'no group on machines that the job may not use',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 0, 8)], true)],
    expect: [],
  },
  // Guards against evictions in a zone that already holds as many tasks of a spread job as it may: the job
  // could not start there.
  {
    name: 'for a spread job only groups in zones that may hold more of its tasks',
    spec: spec({ kind: 'service', oneZone: false, spread: true, tasks: 2 }),
    overrides: { count: 1, tasksByZone: new Map([['x', 1]]) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
  {
    name: 'for a one-zone array only groups in the zone of its tasks',
    spec: spec({ kind: 'array', tasks: 2 }),
    overrides: { count: 1, tasksByZone: new Map([['y', 1]]) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
  {
    name: 'no group on a machine on which the job failed',
    spec: spec({}),
    overrides: { failedOn: new Set(['a']) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'x', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
];
for (const row of rows) {
  test(`evict: ${row.name}`, () => {
    const { evictions } = preempt(waiting(row.spec, row.overrides), row.machines);
    assert.deepEqual(
      evictions.map((victim) => `${victim.job}@${victim.machine}`),
      row.expect,
    );
  });
}

test('evict: the next job sees the capacity that the first one freed and used', () => {
  // Guards against deciding for only one job per search, which is one job per second: after the loss of a
  // zone, the last of thirty services waited half a minute.
  const half = spec({ kind: 'service', oneZone: false, gpus: 4 });
  const machines = [machine('a', 'x', [group('j1', 1, 8)]), machine('b', 'x', [group('j2', 1, 8)])];
  const evicted: string[][] = [];
  let left: readonly OccupiedMachine[] = machines;
  for (let k = 0; k < 5; k += 1) {
    const { evictions, machines: after } = preempt(waiting(half), left);
    evicted.push(evictions.map((eviction) => `${eviction.job}@${eviction.machine}`));
    left = after;
  }
  assert.deepEqual(evicted, [['j1@a'], [], ['j2@b'], [], []]);
  assert.deepEqual(
    left.map((entry) => [entry.free.gpus, entry.groups.length]),
    [
      [0, 0],
      [0, 0],
    ],
  );
});
