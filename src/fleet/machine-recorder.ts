/**
 * Writes the records of machines that are new to the service, and owns the revisions at which they were
 * written. Used by scale-out and the adopter; the leader asks whether a summary shows them.
 */
import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { fencedTransaction } from '../duties/fenced-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { TransactionResult } from '../kv-store/model.js';
import { machineKey } from '../kv-store/keys.js';
import { writeMachineRecord } from './machine-record-codec.js';
import type { NewMachine } from './machine-record.js';

/** State: for each shard the revision at which machines were last recorded for it. */
export class MachineRecorder {
  private readonly recordedRevisions = new Map<number, number>();

  constructor(private readonly store: KeyValueStore) {}

  /** Writes records, as many as fit in one transaction; none is written where a machine has one already. */
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

  /** Does a summary of this revision show all machines that were recorded for the shard? */
  isReflected(shardId: number, revision: number): boolean {
    return revision >= (this.recordedRevisions.get(shardId) ?? 0);
  }
}
