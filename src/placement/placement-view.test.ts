/**
 * Tests of the placement requests of jobs that have dependencies or dependants: which of the jobs count
 * within their team's guarantee, and from when their waiting times and deadlines count.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRecord, JobSpec } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import { PipelineIndex } from '../pipelines/graph.js';
import { MachineLiveness } from './machine-liveness.js';
import { placementRequests, teamUsage } from './placement-view.js';
import { ShardState } from './shard-state.js';

const STAGE_MS = 1_000;
const NOW = 100_000;
const GUARANTEED_GPUS = 4;

const recordOf = (id: string, overrides: Partial<JobSpec> & { at?: number; follows?: readonly string[] }) => {
  const { at = 0, follows = [], ...spec } = overrides;
  return {
    spec: jobSpec(id, {
      kind: 'array',
      priority: 1,
      tasks: 4,
      cpus: 1,
      gpus: 1,
      memoryGb: 1,
      image: 'i',
      estimateS: 10,
      ...spec,
    }),
    at,
    cancelled: false,
    cancelledAt: null,
    dependsOn: follows,
    parts: 0,
  } satisfies JobRecord;
};

interface Row {
  readonly name: string;
  readonly jobs: readonly JobRecord[];
  /** Dependencies that have ended: when each was done, in ms since the epoch, or null if cancelled. */
  readonly ended: Readonly<Record<string, number | null>>;
  /**
   * The requests in order: job, whether within the guarantee, s that it has waited, s from now until its
   * deadline.
   */
  readonly expect: readonly (readonly [string, boolean, number, number | null])[];
}
const rows: readonly Row[] = [
  {
    name: 'a job that waits for its dependencies has no request and uses no part of the guarantee',
    jobs: [
      recordOf('job-1', { at: 10_000, follows: ['job-9'] }),
      recordOf('job-2', { at: 20_000 }),
      recordOf('job-3', { at: 30_000 }),
    ],
    ended: {},
    // If job-1 counted, job-2 would exceed the guarantee of the team.
    expect: [
      ['job-2', true, 80, null],
      ['job-3', false, 70, null],
    ],
  },
  {
    name: 'the waiting time of a job counts from when it became ready, behind jobs that waited before',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-9'] }), recordOf('job-2', { at: 20_000 })],
    ended: { 'job-9': 90_000 },
    expect: [
      ['job-2', true, 80, null],
      ['job-1', false, 10, null],
    ],
  },
  {
    name: 'the deadline counts from the submission, the waiting time from the last dependency',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'], deadlineS: 120 })],
    ended: { 'job-8': 40_000, 'job-9': 70_000 },
    expect: [['job-1', true, 30, 30]],
  },
  {
    name: 'no request while one of two dependencies is not done',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'], deadlineS: 120 })],
    ended: { 'job-8': 40_000 },
    expect: [],
  },
  {
    name: 'no request once one of two dependencies is cancelled',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'] })],
    ended: { 'job-8': 40_000, 'job-9': null },
    expect: [],
  },
  {
    name: 'a dependency gets the priority and the deadline of an urgent dependant',
    jobs: [
      recordOf('job-1', { at: 10_000, priority: 0 }),
      recordOf('job-2', { at: 11_000, priority: 2, follows: ['job-1'], deadlineS: 139 }),
      recordOf('job-3', { at: 5_000, priority: 1 }),
    ],
    ended: {},
    // job-2 is due at 150 s: less its estimate, 10 s, and a stage transition, 1 s, job-1 is due at 139 s.
    expect: [
      ['job-1', false, 90, 39],
      ['job-3', true, 95, null],
    ],
  },
];
for (const row of rows) {
  test(`placement requests: ${row.name}`, () => {
    const index = new PipelineIndex(STAGE_MS);
    const shardState = new ShardState({ now: () => NOW, wall: () => NOW, requestRound: () => undefined });
    const liveness = new MachineLiveness({
      machines: shardState.machines,
      catalog: () => new Map(),
      workers: { lease_s: 18, report_s: 3, cancel_s: 48 },
      now: () => NOW,
      wall: () => NOW,
    });
    row.jobs.forEach((record, version) => {
      const { spec, dependsOn } = record;
      shardState.applyJobRecord(record, version + 1);
      index.put({
        id: spec.id,
        dependsOn,
        priority: spec.priority,
        dueAt: spec.deadlineS === null ? null : record.at + spec.deadlineS * 1000,
        estimateMs: spec.estimateS * 1000,
        cancelled: false,
      });
    });
    for (const [id, doneAt] of Object.entries(row.ended))
      index.setOutcome(id, doneAt === null ? { _tag: 'cancelled' } : { _tag: 'done', at: doneAt });
    for (const { spec } of row.jobs) {
      const effectivePriority = index.effectivePriority(spec.id);
      assert.ok(effectivePriority);
      shardState.updateReadiness(spec.id, index.readiness(spec.id), effectivePriority);
    }
    const requests = placementRequests({
      shardState,
      liveness,
      catalog: new Map(),
      scarceDemand: () => null,
      guarantees: new Map([['red', { cpus: 0, gpus: GUARANTEED_GPUS }]]),
      objectives: new Map(),
      reservations: [],
      now: NOW,
      wall: NOW,
    });
    assert.deepEqual(
      requests.map((request) => [
        request.job,
        request.withinGuarantee,
        (NOW - request.waitingSince) / 1000,
        request.spec.deadlineS === null
          ? null
          : (request.waitingSince + request.spec.deadlineS * 1000 - NOW) / 1000,
      ]),
      row.expect,
    );
    assert.deepEqual([...teamUsage(shardState)], [], 'no task is on a machine, so no team has usage');
  });
}
