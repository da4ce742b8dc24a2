/**
 * Writes the records of a shard's machines in order to transfer machines to another shard, to request their
 * release, or to raise their token. No state of its own; it sets `releasing` of machines. `MachineLifecycle`
 * calls it.
 */
import {
  IMAGE_NAMES_VALUE_FRACTION,
  MAX_IMAGE_NAMES_BYTES,
  MAX_RECORD_BATCH_BYTES,
} from '../constants/key-value-store.js';
import { writeMachineRecord } from '../fleet/machine-record-codec.js';
import { machineKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardIdentity, ValueLimits } from './ports.js';
import type { ReleaseReason, ShardMachine } from './shard-model.js';

/** The assignment that a machine's record is to contain. */
export interface MachineAssignment {
  readonly machine: ShardMachine;
  readonly shardId: number;
  /** Why the machine is to be released; undefined: it stays in use. */
  readonly releaseReason?: ReleaseReason;
}

/** The most recently used images of a machine, as many as fit in `maxBytes` of its record. */
export const recentImages = (images: ReadonlySet<string>, maxBytes: number): readonly string[] => {
  const recent: string[] = [];
  let bytes = 0;
  for (const image of [...images].reverse()) {
    bytes += JSON.stringify(image).length + 1;
    if (bytes > maxBytes) break;
    recent.unshift(image);
  }
  return recent;
};

/** What the writer of machine records needs of its shard. */
export interface MachineRecordWriterDependencies
  extends Pick<ShardIdentity, 'claim'>, Pick<ValueLimits, 'valueBytes'> {
  readonly transactions: ClaimTransactions;
}

/** An assignment, with the version of the record that it replaces. */
interface PendingAssignment extends MachineAssignment {
  readonly version: number;
}

/** The writer of machine records of one shard. */
export class MachineRecordWriter {
  constructor(private readonly dependencies: MachineRecordWriterDependencies) {}

  /**
   * Writes machine records in one transaction. From its start until its outcome is known, nothing is placed
   * on the machines. Resolves to true if the records are written, or if none had to be.
   */
  async assign(assignments: readonly MachineAssignment[], priority: RequestPriority): Promise<boolean> {
    // A requested release is never withdrawn: a late copy of the request must not release a machine that is
    // in use again.
    const pending = assignments
      .filter(({ machine, releaseReason }) => releaseReason !== undefined || !machine.releasing)
      .map((assignment): PendingAssignment => ({ ...assignment, version: assignment.machine.version }));
    const first = pending[0];
    if (!first) return true;
    for (const { machine } of pending) machine.releasing = true;
    const imageBytes = this.imageBytes(pending.length);
    const result = await this.dependencies.transactions.commit({
      conditions: pending.map(({ machine, version }) => ({ key: machineKey(machine.id), version })),
      writes: pending.map((assignment) => ({
        _tag: 'put',
        key: machineKey(assignment.machine.id),
        value: this.recordOf(assignment, imageBytes),
      })),
      outcomeKey: machineKey(first.machine.id),
      priority,
    });
    if (result._tag === 'committed') return true;
    this.onNotCommitted(pending, result._tag === 'conflict' ? result.failed : []);
    return false;
  }

  /** bytes: how much space the images may take in each record of a transaction with `records` records. */
  private imageBytes(records: number): number {
    return Math.min(
      MAX_IMAGE_NAMES_BYTES,
      this.dependencies.valueBytes * IMAGE_NAMES_VALUE_FRACTION,
      MAX_RECORD_BATCH_BYTES / records,
    );
  }

  private recordOf({ machine, shardId, releaseReason }: MachineAssignment, imageBytes: number): unknown {
    const { claim } = this.dependencies;
    const release = releaseReason === undefined ? {} : { release: { reason: releaseReason, token: claim } };
    return writeMachineRecord({
      shardId,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      at: machine.recordedAt,
      releasing: releaseReason !== undefined,
      ...release,
      addr: machine.addr,
      agentEpoch: machine.agentEpoch,
      images: recentImages(machine.images, imageBytes),
    });
  }

  private onNotCommitted(pending: readonly PendingAssignment[], failedKeys: readonly string[]): void {
    for (const { machine, version } of pending) {
      // If the record of a machine has changed, the watch event of that change sets `releasing`.
      const changed = failedKeys.includes(machineKey(machine.id)) || machine.version !== version;
      if (!changed) machine.releasing = false;
    }
  }
}
