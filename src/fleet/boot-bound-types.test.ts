/** Tests of the set of machine types of which idle machines are kept. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Catalog, JobSpec } from '../jobs/model.js';
import { readObjectives } from '../placement/objectives-codec.js';
import { jobSpec } from '../testing/bodies.js';
import { BootBoundTypes } from './boot-bound-types.js';

const machineType = { memoryGb: 256, cacheGb: 10, price: 4, spotPrice: 1, zones: ['x'] };
const catalog: Catalog = new Map([
  ['cpu', { ...machineType, name: 'cpu', cpus: 64, gpus: 0, bootS: 25 }],
  ['gpu', { ...machineType, name: 'gpu', cpus: 96, gpus: 8, bootS: 30 }],
]);
const waitObjectives = (...seconds: readonly number[]): readonly unknown[] =>
  seconds.map((within) => ({ kind: 'wait', class: 'c', within_s: within, share: 0.9 }));

/**
 * Guards that idle machines are kept where a boot always takes longer than the start target. Otherwise the
 * machines would be released when idle and provisioned again all day, without their cached images.
 */
const cases: readonly {
  readonly name: string;
  readonly objectives: readonly unknown[];
  readonly spec: Partial<JobSpec>;
  readonly types: readonly string[];
}[] = [
  {
    name: 'every start target is shorter than any boot',
    objectives: waitObjectives(1),
    spec: {},
    types: ['cpu', 'gpu'],
  },
  { name: 'the loosest target decides', objectives: waitObjectives(1, 7), spec: {}, types: ['gpu'] },
  { name: 'a boot meets the loosest target', objectives: waitObjectives(10, 70), spec: {}, types: [] },
  // With a target of 25 s and a boot of 35 s, keeping idle machines costs more than it saves.
  { name: 'targets about as long as a boot', objectives: waitObjectives(20), spec: {}, types: [] },
  {
    name: 'only types that the job fits on',
    objectives: waitObjectives(1),
    spec: { gpus: 8 },
    types: ['gpu'],
  },
  {
    name: 'only types that the job allows',
    objectives: waitObjectives(1),
    spec: { types: ['cpu'] },
    types: ['cpu'],
  },
  {
    name: 'a job that may use spot machines',
    objectives: waitObjectives(1),
    spec: { spot: true },
    types: [],
  },
  { name: 'no start target', objectives: [], spec: {}, types: [] },
];
for (const row of cases) {
  test(`boot-bound types: ${row.name}`, () => {
    const types = new BootBoundTypes(() => catalog, readObjectives(row.objectives));
    types.note(jobSpec('job-000001', row.spec));
    assert.deepEqual(
      [...catalog.keys()].filter((type) => types.has(type)),
      row.types,
    );
  });
}
