/**
 * Decodes the watch events of the shared keys into typed changes, each event once. No state; the controller's
 * change dispatcher calls it.
 */
import type { MachineRecord } from '../fleet/machine-record.js';
import { readMachineRecord } from '../fleet/machine-record-codec.js';
import { readJobRecord } from '../jobs/job-record-codec.js';
import type { JobRecord } from '../jobs/model.js';
import type { StoredEntry, WatchEvent } from './model.js';
import { parseSharedKey } from './keys.js';

/** A change of the shared keys. */
export type Change =
  /** `revision` is null when the claim no longer has a holder. */
  | { readonly _tag: 'claimChanged'; readonly claimName: string; readonly revision: number | null }
  | {
      readonly _tag: 'machineChanged';
      readonly machine: string;
      readonly record: MachineRecord;
      readonly version: number;
    }
  | { readonly _tag: 'machineRemoved'; readonly machine: string }
  | {
      readonly _tag: 'jobChanged';
      readonly job: string;
      readonly record: JobRecord;
      readonly version: number;
    }
  | { readonly _tag: 'jobRemoved'; readonly job: string }
  /** A part of the job's list of dependencies was written. */
  | { readonly _tag: 'dependencyListChanged'; readonly job: string }
  /** `value` is in the layout of the relay, which decodes it. */
  | { readonly _tag: 'summaryRelayed'; readonly shardId: number; readonly value: unknown }
  | { readonly _tag: 'ordersRelayed'; readonly shardId: number; readonly value: unknown }
  /**
   * A change that no subsystem acts on: of a key that none follows, or the deletion of a part of a dependency
   * list, of a relayed summary or of relayed orders.
   */
  | { readonly _tag: 'other' };

const OTHER_CHANGE: Change = { _tag: 'other' };

const decodePut = ({ key, value, version }: StoredEntry): Change => {
  const parsed = parseSharedKey(key);
  switch (parsed._tag) {
    case 'claim':
      return { _tag: 'claimChanged', claimName: parsed.claimName, revision: version };
    case 'machine':
      return { _tag: 'machineChanged', machine: parsed.machine, record: readMachineRecord(value), version };
    case 'job':
      return { _tag: 'jobChanged', job: parsed.job, record: readJobRecord(value), version };
    case 'dependencyList':
      return { _tag: 'dependencyListChanged', job: parsed.job };
    case 'summary':
      return { _tag: 'summaryRelayed', shardId: parsed.shardId, value };
    case 'orders':
      return { _tag: 'ordersRelayed', shardId: parsed.shardId, value };
    case 'other':
      return OTHER_CHANGE;
  }
};

const decodeDelete = (key: string): Change => {
  const parsed = parseSharedKey(key);
  switch (parsed._tag) {
    case 'claim':
      return { _tag: 'claimChanged', claimName: parsed.claimName, revision: null };
    case 'machine':
      return { _tag: 'machineRemoved', machine: parsed.machine };
    case 'job':
      return { _tag: 'jobRemoved', job: parsed.job };
    case 'dependencyList':
    case 'summary':
    case 'orders':
    case 'other':
      return OTHER_CHANGE;
  }
};

/** Decodes a watch event. */
export const decodeChange = (event: WatchEvent): Change =>
  event._tag === 'put' ? decodePut(event.entry) : decodeDelete(event.key);
