import {
  IMAGE_NAMES_VALUE_FRACTION,
  MAX_IMAGE_NAMES_BYTES,
  MAX_RECORD_BATCH_BYTES,
} from '../constants/key-value-store.js';
import { writeMachineRecord } from '../fleet/records.js';
import { machineKey } from '../kv-store/keys.js';
import type { RequestPriority } from '../kv-store/rate-limiter.js';
import type { ClaimTransactions } from './claim-transactions.js';
import type { ShardMachine } from './shard-model.js';

/** What a machine's record is to say. */
export interface MachineAssignment {
  readonly machine: ShardMachine;
  readonly shardId: number;
  /** Why it is to be released; none: it stays in use. */
  readonly releaseReason?: string;
}

/** The most recently used images of a machine, as many as its record has room for beside the rest. */
export const recentImages = (images: ReadonlySet<string>, room: number): readonly string[] => {
  const recent: string[] = [];
  let bytes = 0;
  for (const image of [...images].reverse()) {
    bytes += JSON.stringify(image).length + 1;
    if (bytes > room) break;
    recent.unshift(image);
  }
  return recent;
};

/** What the writer of machine records needs of its share. */
export interface MachineRecordWriterDependencies {
  readonly transactions: ClaimTransactions;
  readonly claim: number;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
}

/**
 * Writes the records of a share's machines: moved to another share, to be released, or renewed for a higher
 * token.
 */
export class MachineRecordWriter {
  constructor(private readonly dependencies: MachineRecordWriterDependencies) {}

  /**
   * Machine records in one transaction. From its start nothing is placed on them, also while the end is open.
   */
  async assign(assignments: readonly MachineAssignment[], rank: RequestPriority): Promise<boolean> {
    // No holder takes back a release intent: a late release request must not meet a machine that is in use
    // again.
    const machines = assignments.filter(
      ({ machine, releaseReason: release }) => release !== undefined || !machine.releasing,
    );
    const first = machines[0];
    if (!first) return true;
    const sent = machines.map((entry) => ({ ...entry, version: entry.machine.version }));
    for (const { machine } of sent) machine.releasing = true;
    const imageBytes = Math.min(
      MAX_IMAGE_NAMES_BYTES,
      this.dependencies.valueBytes * IMAGE_NAMES_VALUE_FRACTION,
      MAX_RECORD_BATCH_BYTES / sent.length,
    );
    const result = await this.dependencies.transactions.commit(
      sent.map(({ machine, version }) => ({ key: machineKey(machine.id), version })),
      sent.map(({ machine, shardId, releaseReason: release }) => ({
        _tag: 'put',
        key: machineKey(machine.id),
        value: writeMachineRecord({
          shardId,
          type: machine.type,
          zone: machine.zone,
          spot: machine.spot,
          at: machine.recordedAt,
          releasing: release !== undefined,
          ...(release === undefined ? {} : { release: { reason: release, token: this.dependencies.claim } }),
          addr: machine.addr,
          agentEpoch: machine.agentEpoch,
          images: recentImages(machine.images, imageBytes),
        }),
      })),
      machineKey(first.machine.id),
      rank,
    );
    if (result._tag === 'committed') return true;
    for (const { machine, version } of sent) {
      const failed = result._tag === 'conflict' && result.failed.includes(machineKey(machine.id));
      // One whose record has changed is set right by the change itself, when it is heard of.
      if (!failed && machine.version === version) machine.releasing = false;
    }
    return false;
  }
}
