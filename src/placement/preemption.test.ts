/** Which groups are stopped for a job that finds no room. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../jobs/model.js';
import { preempt, type EvictableGroup, type OccupiedMachine, type PreemptingJob } from './preemption.js';
import { jobSpec } from '../testing/bodies.js';

const spec = (over: Partial<JobSpec>): JobSpec =>
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
    ...over,
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

const waiting = (job: JobSpec, over: Partial<PreemptingJob> = {}): PreemptingJob => ({
  spec: job,
  count: job.tasks,
  tasksByZone: new Map(),
  failedOn: new Set(),
  ...over,
});

const rows: readonly {
  name: string;
  spec: JobSpec;
  over?: Partial<PreemptingJob>;
  machines: readonly OccupiedMachine[];
  expect: readonly string[];
}[] = [
  {
    name: 'nothing of the same priority',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 2, 4)])],
    expect: [],
  },
  {
    name: 'no eviction that leads to no start',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 2, 4), group('j2', 0, 4)])],
    expect: [],
  },
  {
    name: 'the lowest priority',
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
    name: 'a one-zone gang needs its room in one zone',
    spec: spec({ tasks: 2 }),
    machines: [machine('a', 'x', [group('j1', 1, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: [],
  },
  {
    name: 'a gang of victims is one group, wherever its tasks are',
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
    name: 'not on machines that the job may not use',
    spec: spec({}),
    machines: [machine('a', 'x', [group('j1', 0, 8)], true)],
    expect: [],
  },
  // Groups went in a zone that had its part of a spread job already, and the job could not start for it.
  {
    name: 'a spread job only where its zones may still take tasks',
    spec: spec({ kind: 'service', oneZone: false, spread: true, tasks: 2 }),
    over: { count: 1, tasksByZone: new Map([['x', 1]]) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
  {
    name: 'a one-zone array only where its tasks are',
    spec: spec({ kind: 'array', tasks: 2 }),
    over: { count: 1, tasksByZone: new Map([['y', 1]]) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'y', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
  {
    name: 'not on a machine on which the job failed',
    spec: spec({}),
    over: { failedOn: new Set(['a']) },
    machines: [machine('a', 'x', [group('j1', 0, 8)]), machine('b', 'x', [group('j2', 1, 8)])],
    expect: ['j2@b'],
  },
];
for (const row of rows) {
  test(`evict: ${row.name}`, () => {
    const { evictions } = preempt(waiting(row.spec, row.over), row.machines);
    assert.deepEqual(
      evictions.map((victim) => `${victim.job}@${victim.machine}`),
      row.expect,
    );
  });
}

test('evict: the next job finds what the first one cleared and took', () => {
  // One job a second was made room for; after the loss of a zone the last of thirty services waited half a
  // minute.
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
