/**
 * Writes the records of new machines, and owns the revisions at which they were written. Scale-out and the
 * adopter write records; the leader queries whether a summary reflects them.
 */
import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { fencedTransaction } from '../duties/fenced-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { TransactionResult } from '../kv-store/model.js';
import { machineKey } from '../kv-store/keys.js';
import { writeMachineRecord } from './machine-record-codec.js';
import type { NewMachine } from './machine-record.js';

/** State: for each shard, the revision at which the last machine records were written for it. */
export class MachineRecorder {
  private readonly recordedRevisions = new Map<number, number>();

  constructor(private readonly store: KeyValueStore) {}

  /** Writes records in one transaction, which fails if one of the machines already has a record. */
  record(permit: Permit, machines: readonly NewMachine[]): Effect.Effect<TransactionResult['_tag']> {
    return Effect.gen({ self: this }, function* () {
      const result = yield* fencedTransaction(
        this.store,
        permit,
        machines.map(({ id }) => ({ key: machineKey(id), version: 0 })),
        machines.map(({ id, record }) => ({
          _tag: 'put',
          key: machineKey(id),
          value: writeMachineRecord(record),
        })),
        'bind',
      );
      if (result._tag === 'committed')
        for (const { record } of machines) this.recordedRevisions.set(record.shardId, result.revision);
      return result._tag;
    });
  }

  /** Whether a summary of this revision reflects all machines that were recorded for the shard. */
  isReflected(shardId: number, revision: number): boolean {
    return revision >= (this.recordedRevisions.get(shardId) ?? 0);
  }
}
