/** Bodies and records that many tests need: a submission, a job specification, a machine record. */
import type { MachineRecord } from '../fleet/machine-record.js';
import type { JobSpec } from '../jobs/model.js';

/** A submission as users send it; `overrides` replace its fields. */
export const submission = (overrides: object): Record<string, unknown> => ({
  uid: 'job-9',
  herd: 'c',
  owner: 'red',
  shape: 'sweep',
  urgency: 'standard',
  heads: 2,
  vcpus: 1,
  accelerators: 0,
  memoryGb: 1,
  brand: 'img',
  sizeGb: 1,
  breeds: null,
  paddock: null,
  together: false,
  scatter: false,
  agistment: true,
  expectedS: 8,
  musterEveryS: 0,
  musterS: 0,
  dueS: null,
  ...overrides,
});

/** The specification of a small service job, as controllers hold it; `overrides` replace its fields. */
export const jobSpec = (id: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
  id,
  jobClass: 'c',
  team: 'red',
  kind: 'service',
  priority: 3,
  tasks: 2,
  cpus: 4,
  gpus: 0,
  memoryGb: 9,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  image: 'img',
  imageGb: 1,
  estimateS: 0,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...overrides,
});

/** The record of an on-demand machine without a worker heartbeat so far; `overrides` replace its fields. */
export const machineRecord = (overrides: Partial<MachineRecord> = {}): MachineRecord => ({
  shardId: 0,
  type: 'g',
  zone: 'x',
  spot: false,
  at: 0,
  releasing: false,
  addr: '',
  agentEpoch: 0,
  ...overrides,
});
