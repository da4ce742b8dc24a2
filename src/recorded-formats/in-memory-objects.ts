/**
 * The objects of the code that codecs write, in the code's own names: the one place of the recordings that
 * follows a change of those names. What they are written as is compared with the fixtures, which never
 * follow.
 */
import { tokenOf, type TombstoneRecord, type ProvisioningRecord } from '@dalegate/fencing';
import type { MachineRecord } from '../fleet/machine-record.js';
import type { FinalRecord, JobRecord, JobSpec, MachineType } from '../jobs/model.js';
import type { RunRecord } from '../placement/run-records.js';
import type { Command } from '../workers/model.js';

const AT = 1_700_000_000_000;

/** A job with a different value in every field. */
const JOB_SPEC: JobSpec = {
  id: 'job-000412',
  jobClass: 'train',
  team: 'blue',
  kind: 'gang',
  priority: 2,
  tasks: 300,
  cpus: 8.5,
  gpus: 1,
  memoryGb: 64,
  types: ['g8', 'c16'],
  zone: 'x',
  oneZone: true,
  spread: false,
  spot: true,
  image: 'img-07',
  imageGb: 6.2,
  estimateS: 240,
  checkpointS: 30,
  saveS: 4,
  deadlineS: 900,
};

const JOB: JobRecord = {
  spec: JOB_SPEC,
  at: AT,
  cancelled: false,
  cancelledAt: null,
  dependsOn: [],
  parts: 0,
};

/** Jobs by what is recorded of them. */
export const JOB_RECORDS: Readonly<Record<string, JobRecord>> = {
  plain: JOB,
  'without optional values': {
    ...JOB,
    spec: {
      ...JOB_SPEC,
      kind: 'service',
      priority: 0,
      types: null,
      zone: null,
      spread: true,
      deadlineS: null,
    },
  },
  'an array': { ...JOB, spec: { ...JOB_SPEC, kind: 'array', priority: 3, oneZone: false, spot: false } },
  'cancelled without its moment': { ...JOB, cancelled: true },
  'cancelled, with followed jobs': {
    ...JOB,
    cancelled: true,
    cancelledAt: AT + 40,
    dependsOn: ['job-000398', 'job-000405', 'job-1000000'],
  },
  'with followed jobs in parts': { ...JOB, parts: 2 },
};

/** Final records by what is recorded of them. */
export const FINAL_RECORDS: Readonly<Record<string, FinalRecord>> = {
  done: { state: 'done', at: AT, tasks: 3 },
  cancelled: { state: 'cancelled', at: AT, tasks: 300 },
};

const MACHINE: MachineRecord = {
  shardId: 1,
  type: 'g8',
  zone: 'x',
  spot: true,
  at: AT,
  releasing: false,
  addr: '',
  agentEpoch: 0,
};

/** Machine records by what is recorded of them. */
export const MACHINE_RECORDS: Readonly<Record<string, MachineRecord>> = {
  'never heard': MACHINE,
  heard: { ...MACHINE, spot: false, addr: '10.1.0.1:9000', agentEpoch: 3 },
  'with images': { ...MACHINE, addr: '10.1.0.1:9000', agentEpoch: 3, images: ['img-1', 'img-2'] },
  'to be released, without a reason': { ...MACHINE, releasing: true },
  'to be released': {
    ...MACHINE,
    releasing: true,
    addr: '10.1.0.1:9000',
    agentEpoch: 3,
    images: ['img-1'],
    release: { reason: 'never came up', token: 41 },
  },
};

/** A run of tasks with finished and bound ones. */
export const RUN: RunRecord = {
  done: [128, 200],
  bindings: [
    { index: 130, machine: 'i-000001', attempt: 7 },
    { index: 131, machine: 'i-000001', attempt: 7 },
    { index: 140, machine: 'i-000002', attempt: 8 },
  ],
  attempt: 8,
};
/** A run that one small value cannot hold. */
export const LONG_RUN: RunRecord = {
  ...RUN,
  bindings: [
    ...Array.from({ length: 6 }, (_, k) => ({ index: 130 + k, machine: 'i-000001', attempt: 7 })),
    ...Array.from({ length: 9 }, (_, k) => ({ index: 140 + k, machine: `i-00000${k}`, attempt: 8 })),
  ],
};
/** The number of these runs among those of their job. */
export const RUN_CHUNK = 1;

/** Machine types with a different value in every field. */
export const MACHINE_TYPES: readonly MachineType[] = Array.from({ length: 4 }, (_, k) => ({
  name: `g${k}`,
  cpus: 64 + k,
  gpus: 8,
  memoryGb: 256.5,
  cacheGb: 100,
  price: 8.5,
  spotPrice: 2.25,
  bootS: 40,
  zones: ['x', 'y'],
}));

const intent = (n: number): ProvisioningRecord['open'][number] => ({
  name: `r-40-${n}`,
  machineType: 'g8',
  zone: 'x',
  spot: n % 2 === 0,
  shardIds: [0, 2, 2],
  at: AT + n,
});

const OUTCOMES = [
  'rented',
  'no capacity',
  'refused',
  'withheld',
  'unanswered',
  'abandoned',
  'repeated by successor',
] as const;

/** The token under which books are written. */
export const TOKEN = tokenOf(40);

/** Books of rental requests by what is recorded of them. */
export const PROVISIONING_RECORDS: Readonly<Record<string, ProvisioningRecord>> = {
  'with open requests': { token: TOKEN, open: [intent(1), intent(2)], settled: [], malformed: [] },
  'with every outcome': {
    token: TOKEN,
    open: [],
    settled: OUTCOMES.map((outcome, k) => ({ name: `r-39-${k}`, outcome, machines: k, at: AT + k })),
    malformed: [],
  },
  'with what could not be read': { token: TOKEN, open: [], settled: [], malformed: [{ n: 'r-1' }, 7] },
};

/** A book of removals with every reason. */
export const TOMBSTONE_RECORD: TombstoneRecord = {
  marked: [
    { key: 'r/1/job-000412/0', revision: 12, reason: 'job over', token: tokenOf(40), at: AT },
    { key: 'r/1/job-000413/0+1', revision: 13, reason: 'part not named', token: tokenOf(41), at: AT + 1 },
  ],
  removed: [
    {
      key: 'r/1/job-000414/0',
      reason: 'belongs to no job',
      markedUnder: tokenOf(38),
      removedUnder: tokenOf(39),
      at: AT + 2,
    },
  ],
};

/** A holder's word that it has seen the shared keys. */
export const ACKNOWLEDGEMENT = { claim: 40, revision: 57 };

/** A command of each kind. */
export const COMMANDS: readonly Command[] = [
  { _tag: 'run', job: 'job-000412', index: 4, attempt: 2 },
  { _tag: 'stop', job: 'job-000377', index: 1, attempt: 1, graceS: 10 },
  { _tag: 'forget', job: 'job-000398', index: 0, attempt: 1 },
];
