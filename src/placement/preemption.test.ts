import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '../jobs/model.js';
import { chooseVictims, type Group, type OccupiedMachine } from './preemption.js';

const spec = (over: Partial<JobSpec>): JobSpec => ({
  id: 'job-9',
  klass: 'k',
  team: 't',
  kind: 'gang',
  priority: 2,
  tasks: 1,
  cpus: 8,
  gpus: 8,
  memoryGb: 8,
  types: null,
  zone: null,
  oneZone: true,
  spread: false,
  spot: false,
  image: 'i',
  imageGb: 1,
  estimateS: 1,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...over,
});
const group = (job: string, priority: number, gpus: number, gang = false): Group => ({
  job,
  priority,
  gang,
  tasks: gpus,
  demand: { cpus: gpus, gpus, memoryGb: gpus },
});
const machine = (id: string, zone: string, groups: readonly Group[], spot = false): OccupiedMachine => {
  const used = groups.reduce((sum, entry) => sum + entry.demand.gpus, 0);
  return { id, type: 'g', zone, spot, free: { cpus: 64, gpus: 8 - used, memoryGb: 64 }, groups };
};

const rows: readonly {
  name: string;
  spec: JobSpec;
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
];
for (const row of rows) {
  test(`evict: ${row.name}`, () => {
    const victims = chooseVictims(row.spec, row.spec.tasks, row.machines);
    assert.deepEqual(
      victims.map((victim) => `${victim.job}@${victim.machine}`),
      row.expect,
    );
  });
}
