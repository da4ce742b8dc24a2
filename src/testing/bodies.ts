import type { MachineRecord } from '../fleet/machine-record.js';
import type { JobSpec } from '../jobs/model.js';

/** A submission as users send it; what a test is about goes over it. */
export const submission = (over: object): Record<string, unknown> => ({
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
  ...over,
});

/** A small service of one class, as it is known inside a controller; what a test is about goes over it. */
export const jobSpec = (id: string, over: Partial<JobSpec> = {}): JobSpec => ({
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
  ...over,
});

/** The record of an ordinary machine that nobody has heard of yet; what a test is about goes over it. */
export const machineRecord = (over: Partial<MachineRecord> = {}): MachineRecord => ({
  shardId: 0,
  type: 'g',
  zone: 'x',
  spot: false,
  at: 0,
  releasing: false,
  addr: '',
  agentEpoch: 0,
  ...over,
});
