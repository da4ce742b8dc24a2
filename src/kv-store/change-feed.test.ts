/** Tests of the change that a write or a deletion of each kind of shared key is decoded into. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineRecord } from '../fleet/machine-record.js';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { writeJobRecord } from '../jobs/job-record-codec.js';
import type { JobRecord } from '../jobs/model.js';
import { jobSpec } from '../testing/bodies.js';
import { decodeChange, type Change } from './change-feed.js';
import {
  claimKey,
  dependencyListKey,
  jobKey,
  PROTOCOL_VERSION_KEY,
  machineKey,
  ordersKey,
  summaryKey,
} from './keys.js';

const VERSION = 7;
const DELETION_VERSION = 9;

const spec = jobSpec('job-1', { kind: 'array' });
const job: JobRecord = { spec, at: 17, cancelled: false, cancelledAt: null, dependsOn: [], parts: 1 };
const machine: MachineRecord = {
  shardId: 1,
  type: 'g',
  zone: 'x',
  spot: false,
  at: 5,
  releasing: false,
  addr: '',
  agentEpoch: 0,
};
const OTHER: Change = { _tag: 'other' };

const rows: readonly { key: string; value: unknown; put: Change; removed: Change }[] = [
  {
    key: claimKey('2'),
    value: { n: 'n0', i: '1' },
    put: { _tag: 'claimChanged', claimName: '2', revision: VERSION },
    removed: { _tag: 'claimChanged', claimName: '2', revision: null },
  },
  {
    key: machineKey('i-1'),
    value: writeMachineRecord(machine),
    put: { _tag: 'machineChanged', machine: 'i-1', record: machine, version: VERSION },
    removed: { _tag: 'machineRemoved', machine: 'i-1' },
  },
  {
    key: jobKey('job-1'),
    value: writeJobRecord(job),
    put: { _tag: 'jobChanged', job: 'job-1', record: job, version: VERSION },
    removed: { _tag: 'jobRemoved', job: 'job-1' },
  },
  {
    key: dependencyListKey('job-1', 3),
    value: [],
    put: { _tag: 'dependencyListChanged', job: 'job-1' },
    removed: OTHER,
  },
  {
    key: summaryKey(2),
    value: { shardId: 2 },
    put: { _tag: 'summaryRelayed', shardId: 2, value: { shardId: 2 } },
    removed: OTHER,
  },
  {
    key: ordersKey(2),
    value: { leader: 3 },
    put: { _tag: 'ordersRelayed', shardId: 2, value: { leader: 3 } },
    removed: OTHER,
  },
  { key: PROTOCOL_VERSION_KEY, value: { v: 1 }, put: OTHER, removed: OTHER },
  { key: 'w/catalog/1', value: [], put: OTHER, removed: OTHER },
  { key: 'w/s/02', value: {}, put: OTHER, removed: OTHER },
];
for (const { key, value, put, removed } of rows) {
  test(`change feed: ${key}`, () => {
    assert.deepEqual(decodeChange({ _tag: 'put', entry: { key, value, version: VERSION } }), put);
    assert.deepEqual(decodeChange({ _tag: 'delete', key, version: DELETION_VERSION }), removed);
  });
}
