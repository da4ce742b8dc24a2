/** Tests which subscribers receive each change of the shared keys, and in which order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { newMachineRecord } from '../fleet/machine-record.js';
import { writeJobRecord } from '../jobs/job-record-codec.js';
import type { JobRecord } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import { packIds } from '../pipelines/codec.js';
import type { Change } from '../kv-store/change-feed.js';
import type { StoredEntry } from '../kv-store/model.js';
import { dependencyListKey, jobKey } from '../kv-store/keys.js';
import { ChangeDispatcher, type ShardListener } from './change-dispatcher.js';

const VERSION = 7;
const JOB = 'job-1';

const spec = jobSpec(JOB, { kind: 'array' });
const job: JobRecord = { spec, at: 17, cancelled: false, cancelledAt: null, dependsOn: [], parts: 0 };
const cancelled: JobRecord = { ...job, cancelled: true, cancelledAt: 18 };
const inParts: JobRecord = { ...job, dependsOn: ['job-2'], parts: 1 };
const machine = newMachineRecord(1, { type: 'g', zone: 'x', spot: false }, 5);

/** Dispatches a change to subscribers that only record their notifications, and returns these in order. */
const notificationsOf = (change: Change, stored: ReadonlyMap<string, unknown>): readonly string[] => {
  const notified: string[] = [];
  const note = (text: string): void => void notified.push(text);
  const shard = (name: string): ShardListener => ({
    onMachineRecord: (id, { shardId }, version) => note(`${name}: machine ${id} of ${shardId} at ${version}`),
    onMachineGone: (id) => note(`${name}: no machine ${id}`),
    onJobRecord: (record, version) => note(`${name}: ${record.spec.id} at ${version}`),
    onJobGone: (id) => note(`${name}: no ${id}`),
  });
  const shards = [shard('first'), shard('second')];
  new ChangeDispatcher({
    cache: {
      get: (key): StoredEntry | undefined =>
        stored.has(key) ? { key, value: stored.get(key), version: VERSION } : undefined,
    },
    relay: {
      onSummary: (from) => note(`relay: summary of ${from}`),
      onOrders: (to) => note(`relay: orders for ${to}`),
    },
    orderVerifier: {
      noteClaim: (claimName, revision) => note(`order verifier: ${claimName} at ${revision}`),
    },
    dutyRegistry: { claimChanged: (claimName) => note(`duty registry: ${claimName}`) },
    shards: {
      onClaimChanged: (claimName) => note(`shards: ${claimName}`),
      forEach: (action) => shards.forEach(action),
    },
    scarceTypes: { note: ({ id }) => note(`scarce types: ${id}`) },
    bootBoundTypes: { note: ({ id }) => note(`boot-bound types: ${id}`) },
    pipelines: {
      onJob: (id, _record, follows) => note(`pipelines: ${id} after ${JSON.stringify(follows)}`),
      onJobGone: (id) => note(`pipelines: no ${id}`),
    },
    durableAcknowledgements: {
      noteCancellation: (shardId, revision) => note(`acknowledgements: ${shardId} at ${revision}`),
    },
    shardOf: () => 2,
  }).dispatch(change);
  return notified;
};

const rows: readonly {
  name: string;
  change: Change;
  stored?: Readonly<Record<string, unknown>>;
  notified: readonly string[];
}[] = [
  {
    name: 'a claim: the duties before the shard',
    change: { _tag: 'claimChanged', claimName: '1', revision: VERSION },
    notified: ['order verifier: 1 at 7', 'duty registry: 1', 'shards: 1'],
  },
  {
    name: 'the end of a claim: no notification to the order verifier',
    change: { _tag: 'claimChanged', claimName: 'L', revision: null },
    notified: ['duty registry: L', 'shards: L'],
  },
  {
    name: 'a machine: the shards in the order in which they were taken',
    change: { _tag: 'machineChanged', machine: 'i-1', record: machine, version: VERSION },
    notified: ['first: machine i-1 of 1 at 7', 'second: machine i-1 of 1 at 7'],
  },
  {
    name: 'the deletion of a machine',
    change: { _tag: 'machineRemoved', machine: 'i-1' },
    notified: ['first: no machine i-1', 'second: no machine i-1'],
  },
  {
    name: 'a job: the shards last',
    change: { _tag: 'jobChanged', job: JOB, record: job, version: VERSION },
    notified: [
      'scarce types: job-1',
      'boot-bound types: job-1',
      'pipelines: job-1 after []',
      'first: job-1 at 7',
      'second: job-1 at 7',
    ],
  },
  {
    name: 'a cancelled job: noted for acknowledgement before the shards receive the change',
    change: { _tag: 'jobChanged', job: JOB, record: cancelled, version: VERSION },
    notified: [
      'scarce types: job-1',
      'boot-bound types: job-1',
      'pipelines: job-1 after []',
      'acknowledgements: 2 at 7',
      'first: job-1 at 7',
      'second: job-1 at 7',
    ],
  },
  {
    name: 'a job whose dependency list is incomplete',
    change: { _tag: 'jobChanged', job: JOB, record: inParts, version: VERSION },
    notified: [
      'scarce types: job-1',
      'boot-bound types: job-1',
      'pipelines: job-1 after null',
      'first: job-1 at 7',
      'second: job-1 at 7',
    ],
  },
  {
    name: 'the deletion of a job: the shards first',
    change: { _tag: 'jobRemoved', job: JOB },
    notified: ['first: no job-1', 'second: no job-1', 'pipelines: no job-1'],
  },
  {
    name: 'a part of a dependency list: only the pipelines',
    change: { _tag: 'dependencyListChanged', job: JOB },
    stored: { [jobKey(JOB)]: writeJobRecord(inParts), [dependencyListKey(JOB, 0)]: packIds(['job-3']) },
    notified: ['pipelines: job-1 after ["job-2","job-3"]'],
  },
  {
    name: 'a part of a dependency list before its job',
    change: { _tag: 'dependencyListChanged', job: JOB },
    notified: [],
  },
  {
    name: 'a relayed summary',
    change: { _tag: 'summaryRelayed', shardId: 1, value: {} },
    notified: ['relay: summary of 1'],
  },
  {
    name: 'relayed orders',
    change: { _tag: 'ordersRelayed', shardId: 1, value: {} },
    notified: ['relay: orders for 1'],
  },
  { name: 'any other key', change: { _tag: 'other' }, notified: [] },
];
for (const { name, change, stored = {}, notified } of rows) {
  test(`change dispatcher: ${name}`, () =>
    assert.deepEqual(notificationsOf(change, new Map(Object.entries(stored))), notified));
}
