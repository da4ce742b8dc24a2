import assert from 'node:assert/strict';
import { before, test } from 'node:test';
import type { MachineRecord } from '../fleet/machine-record.js';
import { readMachineRecord, writeMachineRecord } from '../fleet/machine-record-codec.js';
import {
  readFinalRecord,
  readJobRecord,
  writeFinalRecord,
  writeJobRecord,
} from '../jobs/job-record-codec.js';
import type { JobRecord, JobSpec } from '../jobs/model.js';
import { readRunRecord, encodeRun } from '../placement/run-codec.js';
import type { RunRecord } from '../placement/run-records.js';
import { runScenario, type Scenario, type ScenarioRun } from '../testing/scenario.js';
import { buildBeforeRenaming, buildProduction, type Production } from '../testing/earlier-versions.js';

/** The version in production and this one side by side: on each other's records, and on the same day. */
let old: Production;
/** The last version before the renaming, whose code has other names for what both send and store. */
let beforeRenaming: Production['compose'];
before(async () => {
  old = await buildProduction();
  beforeRenaming = await buildBeforeRenaming();
});
const stored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

const spec: JobSpec = {
  id: 'job-000412',
  jobClass: 'train',
  team: 'red',
  kind: 'gang',
  priority: 2,
  tasks: 300,
  cpus: 8,
  gpus: 1,
  memoryGb: 64,
  types: ['g8'],
  zone: null,
  oneZone: true,
  spread: false,
  spot: true,
  image: 'img',
  imageGb: 6.2,
  estimateS: 240,
  checkpointS: 30,
  saveS: 4,
  deadlineS: 900,
};
const plain: JobRecord = { spec, at: 17, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };

const jobs: readonly { name: string; record: JobRecord; same: boolean }[] = [
  { name: 'a job', record: plain, same: true },
  // The moment of the cancellation is new, and goes unread there.
  { name: 'a cancelled job', record: { ...plain, cancelled: true, cancelledAt: 40 }, same: false },
];
for (const row of jobs) {
  test(`upgrade: the record of ${row.name} is read by both versions`, () => {
    const { cancelledAt, dependsOn: follows, parts, ...earlier } = row.record;
    assert.deepEqual([follows, parts], [[], 0], 'nothing that the earlier version can not know');
    const written = stored(writeJobRecord(row.record));
    assert.deepEqual(old.codec.readJobRecord(written), earlier);
    const before = stored(old.codec.writeJobRecord(row.record));
    assert.deepEqual(readJobRecord(before), { ...row.record, cancelledAt: null });
    assert.equal(JSON.stringify(before) === JSON.stringify(written), row.same);
    assert.ok(row.same || cancelledAt !== null);
  });
}

const run: RunRecord = {
  done: [128, 200],
  bindings: Array.from({ length: 100 }, (_, k) => ({ index: 130 + k, machine: `i-${k}`, attempt: 7 })),
  attempt: 7,
};
test('upgrade: a run that an earlier version may have to read is written in its layout, however long', () => {
  const { record, parts: parts } = encodeRun(run, 1, 500, false);
  assert.deepEqual(parts, []);
  assert.deepEqual(old.records.readRunRecord(stored(record), 1), run);
  assert.deepEqual(readRunRecord(stored(old.records.writeRunRecord(run, 1)), 1), run);
});

test('upgrade: machines and final records are the same in both versions', () => {
  const machine: MachineRecord = {
    shardId: 1,
    type: 'g',
    zone: 'x',
    spot: true,
    at: 5,
    releasing: true,
    addr: '10.1.0.1:9000',
    agentEpoch: 3,
  };
  const final = { state: 'cancelled', at: 9, tasks: 3 } as const;
  assert.deepEqual(old.machines.readMachineRecord(stored(writeMachineRecord(machine))), machine);
  assert.deepEqual(readMachineRecord(stored(old.machines.writeMachineRecord(machine))), machine);
  assert.deepEqual(old.codec.readFinalRecord(stored(writeFinalRecord(final))), final);
  assert.deepEqual(readFinalRecord(stored(old.codec.writeFinalRecord(final))), final);
});

const upgrade =
  (node: string) =>
  (day: ScenarioRun): void =>
    day.upgrade(node);
const rows: readonly (Omit<Scenario, 'production'> & { readonly name: string })[] = [
  {
    name: 'a roll from the one to the other, with pipelines once all are new, and the limits lowered',
    seed: 61,
    pipelines: 6,
    pipelinesFromS: 62,
    taskDurationRangeS: [10, 40],
    faults: [
      [30, upgrade('n0')],
      [42, upgrade('n1')],
      [55, upgrade('n2')],
      [70, (day) => (day.environment.state.limits = { maxValueBytes: 2 * 1024, maxTransactionWrites: 10 })],
      [75, (day) => day.cancelPipelines(2)],
    ],
  },
  // A request that comes early is answered 503, and never taken by a node that would understand half of it.
  {
    name: 'pipelines that are submitted before all are new; a crash back to the old version',
    seed: 62,
    jobs: 8,
    pipelines: 5,
    pipelinesFromS: 28,
    taskDurationRangeS: [10, 40],
    faults: [
      [30, upgrade('n1')],
      [38, upgrade('n0')],
      // Its turn has not come: it comes back old, and takes over what a new one held.
      [44, (day) => day.cluster.stop('n2')],
      [45, (day) => day.cluster.start('n2')],
      [47, (day) => day.cluster.stop('n0')],
      [58, (day) => day.cluster.start('n0')],
      [64, upgrade('n2')],
      [80, (day) => (day.environment.state.limits = { maxValueBytes: 2 * 1024, maxTransactionWrites: 10 })],
    ],
  },
  {
    name: 'takeovers both ways, jobs cancelled between, and an outage',
    seed: 63,
    jobs: 12,
    taskDurationRangeS: [40, 80],
    faults: [
      [35, upgrade('n0')],
      [40, (day) => day.cancelRunning(2)],
      [46, (day) => day.cluster.stop('n1')],
      [52, (day) => day.cancelRunning(2)],
      [56, (day) => day.cluster.start('n1')],
      [62, upgrade('n1')],
      [66, (day) => day.cluster.stop('n0')],
      [72, (day) => day.cluster.start('n0')],
      [80, (day) => day.environment.state.setOutage(true)],
      [95, (day) => day.environment.state.setOutage(false)],
      [100, (day) => day.cancelRunning(2)],
      [104, upgrade('n2')],
    ],
  },
];
for (const row of rows) {
  test(`upgrade: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario({ ...row, production: old.compose }), []),
  );
  test(`upgrade from ba59fc1: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario({ ...row, production: beforeRenaming }), []),
  );
}

/** Without this, an earlier version that its adapter keeps from working would pass as one that is idle. */
const versions: readonly (readonly [name: string, compose: () => Production['compose']])[] = [
  ['the version in production', () => old.compose],
  ['ba59fc1', () => beforeRenaming],
];
for (const [name, compose] of versions)
  test(`upgrade: ${name} by itself serves a day among the stand-ins`, { timeout: 240_000 }, async () =>
    assert.deepEqual(
      await runScenario({
        seed: 64,
        jobs: 10,
        taskDurationRangeS: [10, 40],
        faults: [],
        production: compose(),
      }),
      [],
    ),
  );
