/** Tests of the leftover capacity of machines, which work without alternatives cannot use. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Catalog, JobSpec } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import { MachineLiveness } from './machine-liveness.js';
import { availableCapacity } from './placement-view.js';
import { ShardState } from './shard-state.js';

const NOW = 1_000_000;
const common = { cacheGb: 10, price: 4, spotPrice: 1, bootS: 30, zones: ['x'] };
const gpu = { ...common, name: 'gpu', cpus: 96, gpus: 8, memoryGb: 768 };
const catalog: Catalog = new Map([
  ['cpu', { ...common, name: 'cpu', cpus: 64, gpus: 0, memoryGb: 256 }],
  ['gpu', gpu],
]);
const training: Partial<JobSpec> = { kind: 'gang', tasks: 1, cpus: 86, gpus: 8, memoryGb: 610 };
const small: Partial<JobSpec> = { kind: 'service', tasks: 1, cpus: 4, gpus: 0, memoryGb: 9 };

/**
 * Guards against small work that blocks gangs that need a whole GPU machine: the work that is placed beside a
 * gang must leave enough capacity for the next gang.
 */
const cases: readonly {
  readonly name: string;
  readonly running: readonly Partial<JobSpec>[];
  readonly leftover: readonly [cpus: number, gpus: number, memoryGb: number];
}[] = [
  {
    name: 'none on an empty machine, which may be transferred to another shard',
    running: [],
    leftover: [0, 0, 0],
  },
  { name: 'what a gang does not use', running: [training], leftover: [10, 0, 158] },
  {
    name: 'what a gang does not use, less what small work uses',
    running: [training, small],
    leftover: [6, 0, 149],
  },
  { name: 'none once the gang has ended', running: [small], leftover: [0, 0, 0] },
];
for (const row of cases) {
  test(`leftover capacity: ${row.name}`, () => {
    const shardState = new ShardState({ now: () => NOW, wall: () => NOW, requestRound: () => undefined });
    const liveness = new MachineLiveness({
      machines: shardState.machines,
      catalog: () => catalog,
      workers: { lease_s: 18, report_s: 3, cancel_s: 48 },
      now: () => NOW,
      wall: () => NOW,
    });
    const machine = shardState.addMachine(
      'm-0',
      {
        shardId: 0,
        type: 'gpu',
        zone: 'x',
        spot: false,
        at: 0,
        releasing: false,
        addr: 'a:1',
        agentEpoch: 1,
      },
      1,
      gpu,
    );
    machine.answeredAt = NOW;
    machine.confirmedToken = 1;
    row.running.forEach((overrides, index) => {
      const spec = jobSpec(`job-${index}`, overrides);
      const job = shardState.applyJobRecord(
        { spec, at: 0, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 },
        1,
      );
      shardState.bind(job, 0, 1, machine, { _tag: 'running' });
    });
    const [capacity] = availableCapacity({
      shardState,
      liveness,
      catalog,
      scarceDemand: (type) => (type === 'gpu' ? { cpus: 86, gpus: 8, memoryGb: 610 } : null),
      guarantees: new Map(),
      objectives: new Map(),
      reservations: [],
      now: NOW,
      wall: NOW,
    });
    assert.deepEqual(
      [capacity?.leftover.cpus, capacity?.leftover.gpus, capacity?.leftover.memoryGb],
      row.leftover,
    );
  });
}
