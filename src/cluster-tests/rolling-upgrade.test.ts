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

/** The version in production: it and this version read each other's records and run side by side. */
let production: Production;
/** The last version before identifiers were renamed; its messages and records are the same. */
let beforeRenaming: Production['compose'];
before(async () => {
  production = await buildProduction();
  beforeRenaming = await buildBeforeRenaming();
});
const asStored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

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

const jobs: readonly { name: string; record: JobRecord; sameJson: boolean }[] = [
  { name: 'a job', record: plain, sameJson: true },
  // Only this version stores the time of the cancellation; the version in production ignores it.
  { name: 'a cancelled job', record: { ...plain, cancelled: true, cancelledAt: 40 }, sameJson: false },
];
for (const row of jobs) {
  test(`upgrade: the record of ${row.name} is read by both versions`, () => {
    const { cancelledAt, dependsOn, parts, ...earlier } = row.record;
    assert.deepEqual([dependsOn, parts], [[], 0], 'the record uses no field that the earlier version lacks');
    const byThisVersion = asStored(writeJobRecord(row.record));
    assert.deepEqual(production.codec.readJobRecord(byThisVersion), earlier);
    const byProduction = asStored(production.codec.writeJobRecord(row.record));
    assert.deepEqual(readJobRecord(byProduction), { ...row.record, cancelledAt: null });
    assert.equal(JSON.stringify(byProduction) === JSON.stringify(byThisVersion), row.sameJson);
    assert.ok(row.sameJson || cancelledAt !== null);
  });
}

const runRecord: RunRecord = {
  done: [128, 200],
  bindings: Array.from({ length: 100 }, (_, k) => ({ index: 130 + k, machine: `i-${k}`, attempt: 7 })),
  attempt: 7,
};
test('upgrade: a run of any length has the earlier layout while an earlier version may read it', () => {
  const { record, parts } = encodeRun(runRecord, 1, 500, false);
  assert.deepEqual(parts, []);
  assert.deepEqual(production.records.readRunRecord(asStored(record), 1), runRecord);
  assert.deepEqual(readRunRecord(asStored(production.records.writeRunRecord(runRecord, 1)), 1), runRecord);
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
  assert.deepEqual(production.machines.readMachineRecord(asStored(writeMachineRecord(machine))), machine);
  assert.deepEqual(readMachineRecord(asStored(production.machines.writeMachineRecord(machine))), machine);
  assert.deepEqual(production.codec.readFinalRecord(asStored(writeFinalRecord(final))), final);
  assert.deepEqual(readFinalRecord(asStored(production.codec.writeFinalRecord(final))), final);
});

const upgrade =
  (node: string) =>
  (run: ScenarioRun): void =>
    run.upgrade(node);
const rows: readonly (Omit<Scenario, 'production'> & { readonly name: string })[] = [
  {
    name: 'a rolling upgrade, with pipelines after it, and lower limits of the key-value store',
    seed: 61,
    pipelines: 6,
    pipelinesFromS: 62,
    taskDurationRangeS: [10, 40],
    faults: [
      [30, upgrade('n0')],
      [42, upgrade('n1')],
      [55, upgrade('n2')],
      [70, (run) => (run.environment.state.limits = { maxValueBytes: 2 * 1024, maxTransactionWrites: 10 })],
      [75, (run) => run.cancelPipelines(2)],
    ],
  },
  // A pipeline job that is submitted too early is answered 503. No controller of the earlier version may
  // accept a job whose dependencies it would ignore.
  {
    name: 'pipelines submitted before all controllers are upgraded; a restart with the old version',
    seed: 62,
    jobs: 8,
    pipelines: 5,
    pipelinesFromS: 28,
    taskDurationRangeS: [10, 40],
    faults: [
      [30, upgrade('n1')],
      [38, upgrade('n0')],
      // This controller is not upgraded yet: it restarts with the old version and takes over claims of an
      // upgraded one.
      [44, (run) => run.cluster.stop('n2')],
      [45, (run) => run.cluster.start('n2')],
      [47, (run) => run.cluster.stop('n0')],
      [58, (run) => run.cluster.start('n0')],
      [64, upgrade('n2')],
      [80, (run) => (run.environment.state.limits = { maxValueBytes: 2 * 1024, maxTransactionWrites: 10 })],
    ],
  },
  {
    name: 'takeovers between the versions in both directions, cancellations, and an outage',
    seed: 63,
    jobs: 12,
    taskDurationRangeS: [40, 80],
    faults: [
      [35, upgrade('n0')],
      [40, (run) => run.cancelRunning(2)],
      [46, (run) => run.cluster.stop('n1')],
      [52, (run) => run.cancelRunning(2)],
      [56, (run) => run.cluster.start('n1')],
      [62, upgrade('n1')],
      [66, (run) => run.cluster.stop('n0')],
      [72, (run) => run.cluster.start('n0')],
      [80, (run) => run.environment.state.setOutage(true)],
      [95, (run) => run.environment.state.setOutage(false)],
      [100, (run) => run.cancelRunning(2)],
      [104, upgrade('n2')],
    ],
  },
];
for (const row of rows) {
  test(`upgrade: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario({ ...row, production: production.compose }), []),
  );
  test(`upgrade from ba59fc1: ${row.name}`, { timeout: 240_000 }, async () =>
    assert.deepEqual(await runScenario({ ...row, production: beforeRenaming }), []),
  );
}

/** Guards against an adapter that keeps an earlier version idle, whose upgrade tests could then pass. */
const versions: readonly (readonly [name: string, compose: () => Production['compose']])[] = [
  ['the version in production', () => production.compose],
  ['ba59fc1', () => beforeRenaming],
];
for (const [name, compose] of versions)
  test(`upgrade: ${name} alone serves a scenario without faults`, { timeout: 240_000 }, async () =>
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
