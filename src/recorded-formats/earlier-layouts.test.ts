import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineRecord } from '../fleet/machine-record.js';
import { readMachineRecord, writeMachineRecord } from '../fleet/machine-record-codec.js';
import {
  readFinalRecord,
  readJobRecord,
  writeFinalRecord,
  writeJobRecord,
} from '../jobs/job-record-codec.js';
import type { JobRecord, JobSpec } from '../jobs/model.js';
import type { WireHeartbeat } from '../peers/heartbeat-codec.js';
import type { WireReservation } from '../peers/reservation-codec.js';
import type { WireSpareMachine, WireSummary, WireUnmetDemand } from '../peers/summary-codec.js';
import { asPrepared, readRunRecord, encodeRun, withValidAttempt } from '../placement/run-codec.js';
import type { RunRecord } from '../placement/run-records.js';
import { compose } from '../controller/compose.js';
import * as keys from '../kv-store/keys.js';
import { settingsOf } from '../testing/cluster.js';

/**
 * Fixtures of values that earlier versions store and send: 79bc3b2, the last version without pipelines, and
 * 55b30b1, the first release with them. Records and messages outlive the code that wrote them, so renaming
 * identifiers must not change a byte here. A layout that has to change gets a new fixture beside the old one,
 * which stays.
 */
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
const SPEC_JSON =
  '["job-000412","train","red","gang",2,300,8,1,64,["g8"],null,true,false,true,"img",6.2,240,30,4,900]';
const job: JobRecord = { spec, at: 17, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };

const run: RunRecord = {
  done: [128, 200],
  bindings: [
    { index: 130, machine: 'i-000001', attempt: 7 },
    { index: 131, machine: 'i-000001', attempt: 7 },
    { index: 140, machine: 'i-000002', attempt: 8 },
  ],
  attempt: 8,
};
const RUN_FIELDS_JSON =
  '"d":"1000000000000000001","b":[[130,"i-000001",7],[131,"i-000001",7],[140,"i-000002",8]],"n":8';
const readRun = (data: unknown): RunRecord => readRunRecord(data, 1);

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

interface Fixture {
  readonly name: string;
  readonly version: '79bc3b2' | '55b30b1';
  readonly storedJson: string;
  readonly read: (data: unknown) => unknown;
  readonly expected: unknown;
  /** The record as this version encodes it; null: this version encodes it in another layout. */
  readonly encoded: unknown;
}
const fixtures: readonly Fixture[] = [
  {
    name: 'a job',
    version: '79bc3b2',
    storedJson: `{"s":${SPEC_JSON},"t":17,"c":false}`,
    read: readJobRecord,
    expected: job,
    encoded: writeJobRecord(job),
  },
  {
    name: 'a cancelled job, without the time of the cancellation',
    version: '79bc3b2',
    storedJson: `{"s":${SPEC_JSON},"t":17,"c":true}`,
    read: readJobRecord,
    expected: { ...job, cancelled: true },
    encoded: null,
  },
  {
    name: 'a cancelled job that depends on others',
    version: '55b30b1',
    storedJson: `{"s":${SPEC_JSON},"t":17,"c":true,"x":40,"f":["6:b2.7"]}`,
    read: readJobRecord,
    expected: { ...job, cancelled: true, cancelledAt: 40, dependsOn: ['job-000398', 'job-000405'] },
    encoded: writeJobRecord({
      ...job,
      cancelled: true,
      cancelledAt: 40,
      dependsOn: ['job-000398', 'job-000405'],
    }),
  },
  {
    name: 'a job whose list of dependencies is stored in parts',
    version: '55b30b1',
    storedJson: `{"s":${SPEC_JSON},"t":17,"c":false,"p":2}`,
    read: readJobRecord,
    expected: { ...job, parts: 2 },
    encoded: writeJobRecord({ ...job, parts: 2 }),
  },
  {
    name: 'a final record',
    version: '79bc3b2',
    storedJson: '{"s":"done","t":9,"n":3}',
    read: readFinalRecord,
    expected: { state: 'done', at: 9, tasks: 3 },
    encoded: writeFinalRecord({ state: 'done', at: 9, tasks: 3 }),
  },
  {
    name: 'a run',
    version: '79bc3b2',
    storedJson: `{${RUN_FIELDS_JSON}}`,
    read: readRun,
    expected: run,
    encoded: encodeRun(run, 1, 1e4, true).record,
  },
  {
    name: 'a run that is prepared',
    version: '55b30b1',
    storedJson: `{${RUN_FIELDS_JSON},"q":1}`,
    read: readRun,
    expected: run,
    encoded: asPrepared(encodeRun(run, 1, 1e4, true)).record,
  },
  {
    name: 'a run that makes its attempt valid',
    version: '55b30b1',
    storedJson: `{${RUN_FIELDS_JSON},"v":8}`,
    read: readRun,
    expected: run,
    encoded: withValidAttempt(encodeRun(run, 1, 1e4, true), 8).record,
  },
  {
    name: 'a machine',
    version: '79bc3b2',
    storedJson: '{"s":1,"b":"g","z":"x","p":true,"t":5,"r":true,"a":"10.1.0.1:9000","n":3}',
    read: readMachineRecord,
    expected: machine,
    encoded: writeMachineRecord(machine),
  },
  {
    name: 'a machine without any worker heartbeat',
    version: '79bc3b2',
    storedJson: '{"s":1,"b":"g","z":"x","p":false,"t":5,"r":false}',
    read: readMachineRecord,
    expected: { ...machine, spot: false, releasing: false, addr: '', agentEpoch: 0 },
    encoded: writeMachineRecord({ ...machine, spot: false, releasing: false, addr: '', agentEpoch: 0 }),
  },
  {
    name: 'a machine with images, which earlier versions ignore',
    version: '55b30b1',
    storedJson:
      '{"s":1,"b":"g","z":"x","p":true,"t":5,"r":true,"a":"10.1.0.1:9000","n":3,"i":["img-1","img-2"]}',
    read: readMachineRecord,
    expected: { ...machine, images: ['img-1', 'img-2'] },
    encoded: writeMachineRecord({ ...machine, images: ['img-1', 'img-2'] }),
  },
];
for (const { name, version, storedJson: text, read, expected: means, encoded: written } of fixtures) {
  test(`layout: ${name}, as ${version} stored it`, () => {
    assert.deepEqual(read(JSON.parse(text)), means);
    if (written !== null) assert.equal(JSON.stringify(written), text);
  });
}

test('layout: a run in parts, as 55b30b1 stored it', () => {
  const longRun: RunRecord = {
    ...run,
    bindings: [
      ...Array.from({ length: 6 }, (_, k) => ({ index: 130 + k, machine: 'i-000001', attempt: 7 })),
      ...Array.from({ length: 4 }, (_, k) => ({ index: 140 + k, machine: `i-00000${k + 2}`, attempt: 8 })),
    ],
  };
  const record = '{"d":"1000000000000000001","b":[[130,"i-000001",7,6],[140,"i-000002",8]],"n":8,"p":2}';
  const parts = ['{"b":[[141,"i-000003",8],[142,"i-000004",8]]}', '{"b":[[143,"i-000005",8]]}'];
  assert.deepEqual(
    readRunRecord(
      JSON.parse(record),
      1,
      parts.map((part): unknown => JSON.parse(part)),
    ),
    longRun,
  );
  const stored = encodeRun(longRun, 1, 150, true);
  assert.equal(JSON.stringify(stored.record), record);
  assert.deepEqual(
    stored.parts.map((part) => JSON.stringify(part)),
    parts,
  );
});

test('layout: keys are those of 79bc3b2, and of 55b30b1 where the key is new there', () => {
  assert.deepEqual(
    [
      keys.SHARED_PREFIX,
      keys.claimKey('2'),
      keys.machineKey('i-1'),
      keys.jobKey('job-1'),
      keys.summaryKey(2),
      keys.ordersKey(2),
      keys.CATALOG_KEY,
      keys.runsPrefix(2),
      keys.runKey(2, 'job-1', 3),
      keys.finalKey('job-1'),
      keys.dependencyListKey('job-1', 4),
      keys.acknowledgementKey('2'),
      keys.PROTOCOL_VERSION_KEY,
      keys.catalogPartKey(4),
      keys.runPartKey(2, 'job-1', 3, 4),
    ],
    [
      'w/',
      'w/c/2',
      'w/m/i-1',
      'w/j/job-1',
      'w/s/2',
      'w/o/2',
      'w/catalog',
      'r/2/',
      'r/2/job-1/3',
      'f/job-1',
      'w/d/job-1/4',
      'w/k/2',
      'w/level',
      'w/catalog/4',
      'r/2/job-1/3+4',
    ],
  );
});

/** Messages between controllers: their types and the JSON texts below fix the field names on the wire. */
const unmetDemand = {
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  types: null,
  zone: null,
  spot: false,
  gang: true,
  oneZone: true,
  urgent: false,
  priority: 1,
  tasks: 2,
  gangs: [{ job: 'job-1', tasks: 2, waitedMs: 5, patienceMs: 9 }],
  room: { x: 1 },
  waitedMs: 5,
} satisfies WireUnmetDemand;
const spareMachine = { id: 'i-1', type: 'g', zone: 'x', spot: false, idleS: 3 } satisfies WireSpareMachine;
const summary = {
  share: 1,
  claim: 7,
  revision: 9,
  needs: [unmetDemand],
  spares: [spareMachine],
} satisfies WireSummary;
const reservation = {
  share: 1,
  job: 'job-1',
  zone: 'x',
  spot: false,
  types: null,
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  tasks: 2,
  priority: 1,
  ageMs: 4,
} satisfies WireReservation;
const earlierHeartbeat = {
  from: 'n1',
  incarnation: 'n1.1',
  lease: 3,
  stateAgeMs: 20,
  summaries: [summary],
  counts: [{ slot: 1, jobs: [['job-1', 2, 1]] }],
  deaf: false,
  strays: { '0': 2 },
  demand: { requests: 1, changes: 2 },
  holds: [reservation],
} satisfies WireHeartbeat;

const HEARTBEAT_JSON =
  '{"from":"n1","incarnation":"n1.1","lease":3,"stateAgeMs":20,"summaries":[{"share":1,"claim":7,"revision":9,' +
  '"needs":[{"cpus":1,"gpus":1,"memoryGb":1,"types":null,"zone":null,"spot":false,"gang":true,"oneZone":true,' +
  '"urgent":false,"priority":1,"tasks":2,"gangs":[{"job":"job-1","tasks":2,"waitedMs":5,"patienceMs":9}],' +
  '"room":{"x":1},"waitedMs":5}],"spares":[{"id":"i-1","type":"g","zone":"x","spot":false,"idleS":3}]}],' +
  '"counts":[{"slot":1,"jobs":[["job-1",2,1]]}],"deaf":false,"strays":{"0":2},' +
  '"demand":{"requests":1,"changes":2},"holds":[{"share":1,"job":"job-1","zone":"x","spot":false,"types":null,' +
  '"cpus":1,"gpus":1,"memoryGb":1,"tasks":2,"priority":1,"ageMs":4}]}';
test('layout: the fields of a heartbeat are those of 79bc3b2', () =>
  assert.equal(JSON.stringify(earlierHeartbeat), HEARTBEAT_JSON));

test('layout: the answer to a heartbeat of 79bc3b2 has all fields of that heartbeat', async () => {
  const controller = compose(settingsOf('n0', new Map([['red', 8]])), {
    now: () => 1_000,
    wall: () => 1_000,
    processorMs: () => 0,
    incarnation: 'n0.1',
    createHttpClient: () => ({ request: () => Promise.resolve({ _tag: 'noResponse', why: 'none' }) }),
    workerClient: { send: () => Promise.resolve({ _tag: 'unknown' }) },
  });
  const reply = await controller.peerRoute({
    method: 'POST',
    path: '/beat',
    query: '',
    body: { _tag: 'value', value: JSON.parse(HEARTBEAT_JSON) as unknown },
  });
  controller.stop();
  const { level, ...fields } = reply.body as Record<string, unknown>;
  assert.deepEqual(Object.keys(fields).sort(), Object.keys(earlierHeartbeat).sort());
  assert.equal(typeof level, 'number', 'the protocol version, which earlier versions do not read');
});
