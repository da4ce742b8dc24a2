/** Creates the in-memory state of new jobs and machines of a shard. No state. */
import type { MachineRecord } from '../fleet/machine-record.js';
import type { Demand, JobRecord } from '../jobs/model.js';
import type { ShardJob, ShardMachine } from './shard-model.js';

/**
 * The state of a machine according to its record, before its worker has reported; `addedAt` is in ms on the
 * steady clock.
 */
export const createMachine = (
  id: string,
  record: MachineRecord,
  version: number,
  total: Demand,
  addedAt: number,
): ShardMachine => ({
  id,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
  version,
  recordedAt: record.at,
  releasing: record.releasing,
  cordoned: false,
  addr: record.addr,
  agentEpoch: 0,
  sequenceNumber: 0,
  confirmedToken: 0,
  raisedToken: 0,
  everConfirmedToken: false,
  addedAt,
  unconfirmedSince: null,
  answeredAt: null,
  reclaimNoticeAt: null,
  reclaimNoticeS: null,
  directRuns: new Map(),
  pendingAnswers: 0,
  reportedTasks: [],
  exitsPendingSince: null,
  bound: new Map(),
  images: new Set(record.images),
  health: { _tag: 'healthy' },
  idleSince: null,
  total,
  free: null,
  needsHigherToken: false,
});

/**
 * The state of a job according to its record, before its runs are read; `ShardState` applies a cancellation.
 */
export const createJob = (record: JobRecord, version: number): ShardJob => ({
  spec: record.spec,
  submittedSpec: record.spec,
  submittedAt: record.at,
  waitingSince: record.at,
  dependencyParts: record.parts,
  readiness:
    record.dependsOn.length + record.parts > 0 ? { _tag: 'waiting' } : { _tag: 'ready', since: record.at },
  version,
  cancelled: false,
  cancelledAt: null,
  done: new Set(),
  firstUnfinished: 0,
  bindings: new Map(),
  attempt: 0,
  validAttempt: 0,
  chunks: new Map(),
  failedOn: new Set(),
  failures: 0,
  backoffUntil: 0,
  hasCompletedTask: false,
  finishing: false,
  recordDeleted: false,
  finishSeparately: false,
  writesInProgress: 0,
});
