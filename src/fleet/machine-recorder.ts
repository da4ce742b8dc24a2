import type { Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { fencedTransaction } from '../duties/fenced-store.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { TransactionResult } from '../kv-store/model.js';
import { machineKey } from '../kv-store/keys.js';
import { writeMachineRecord, type MachineRecord } from './records.js';

/** A machine with the record that it is to have. */
export type NewMachine = readonly [id: string, record: MachineRecord];

/** Writes the records of machines that are new to the service. */
export class MachineRecorder {
  /** By share: summaries older than this revision don't know of machines recorded since. */
  private readonly recordedAt = new Map<number, number>();

  constructor(private readonly store: KeyValueStore) {}

  /** Records of new machines, as many as fit in one transaction. */
  record(permit: Permit, machines: readonly NewMachine[]): Effect.Effect<TransactionResult['_tag']> {
    return Effect.gen({ self: this }, function* () {
      const result = yield* fencedTransaction(
        this.store,
        permit,
        machines.map(([id]) => ({ key: machineKey(id), version: 0 })),
        machines.map(([id, record]) => ({
          _tag: 'put',
          key: machineKey(id),
          value: writeMachineRecord(record),
        })),
        'bind',
      );
      if (result._tag === 'committed')
        for (const [, record] of machines) this.recordedAt.set(record.shardId, result.revision);
      return result._tag;
    });
  }

  /** Does a summary of this revision know of all machines that were recorded for the share? */
  knows(shardId: number, revision: number): boolean {
    return revision >= (this.recordedAt.get(shardId) ?? 0);
  }
}
