/** What a round asks for: jobs that wait for others, and those that others wait for. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRecord, JobSpec } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import { PipelineIndex } from '../pipelines/graph.js';
import { MachineLiveness } from './machine-liveness.js';
import { placementRequests, teamUsage } from './placement-view.js';
import { ShardState } from './shard-state.js';

/** What jobs that follow others take of their team before they are ready, and from when their times count. */
const STAGE_MS = 1_000;
const NOW = 100_000;
const GUARANTEED_GPUS = 4;

const recordOf = (id: string, over: Partial<JobSpec> & { at?: number; follows?: readonly string[] }) => {
  const { at = 0, follows = [], ...spec } = over;
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
  /** Followed jobs that are over: when they were done, or null for cancelled. */
  readonly over: Readonly<Record<string, number | null>>;
  /** Requests: job, within its guarantee, seconds that it has waited, seconds from now until it is due. */
  readonly expect: readonly (readonly [string, boolean, number, number | null])[];
}
const rows: readonly Row[] = [
  {
    name: 'a job that waits for others asks for nothing and takes nothing of the guarantee',
    jobs: [
      recordOf('job-1', { at: 10_000, follows: ['job-9'] }),
      recordOf('job-2', { at: 20_000 }),
      recordOf('job-3', { at: 30_000 }),
    ],
    over: {},
    // Were the first counted, the second would be beyond what the team is guaranteed.
    expect: [
      ['job-2', true, 80, null],
      ['job-3', false, 70, null],
    ],
  },
  {
    name: 'one that became ready counts from then on, behind those that were there before',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-9'] }), recordOf('job-2', { at: 20_000 })],
    over: { 'job-9': 90_000 },
    expect: [
      ['job-2', true, 80, null],
      ['job-1', false, 10, null],
    ],
  },
  {
    name: 'its deadline counts from the submission, its waiting from the last job that it needed',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'], deadlineS: 120 })],
    over: { 'job-8': 40_000, 'job-9': 70_000 },
    expect: [['job-1', true, 30, 30]],
  },
  {
    name: 'one of two is not done',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'], deadlineS: 120 })],
    over: { 'job-8': 40_000 },
    expect: [],
  },
  {
    name: 'one of two is cancelled, and with it the job',
    jobs: [recordOf('job-1', { at: 10_000, follows: ['job-8', 'job-9'] })],
    over: { 'job-8': 40_000, 'job-9': null },
    expect: [],
  },
  {
    name: 'what is needed by an urgent job with a deadline is placed with both',
    jobs: [
      recordOf('job-1', { at: 10_000, priority: 0 }),
      recordOf('job-2', { at: 11_000, priority: 2, follows: ['job-1'], deadlineS: 139 }),
      recordOf('job-3', { at: 5_000, priority: 1 }),
    ],
    over: {},
    // Due 150 s after the start less the estimate of the last stage and what lies between two.
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
      isBootBound: () => false,
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
    for (const [id, doneAt] of Object.entries(row.over))
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
    assert.deepEqual(
      [...teamUsage(shardState)],
      [],
      'nothing is on a machine, so nothing counts for a limit',
    );
  });
}
