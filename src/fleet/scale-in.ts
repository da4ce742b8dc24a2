/**
 * Releases machines to the cloud, and deletes the records of those that are gone. Called by the leader; the
 * holder of a shard decides which of its machines are released.
 */
import type { Duty, Permit } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  MAX_MACHINES_PER_RELEASE_REQUEST,
  MAX_RECORD_DELETIONS_PER_TRANSACTION,
  RECORD_DELETION_ATTEMPTS,
} from '../constants/fleet.js';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import { fencedTransaction } from '../duties/fenced-store.js';
import { log } from '../log.js';
import type { StoredEntry } from '../kv-store/model.js';
import { machineKey } from '../kv-store/keys.js';
import type { CapacityRefusals } from './capacity-refusals.js';
import type { FleetDependencies } from './dependencies.js';
import type { MachineIndex } from './machine-index.js';
import { kindKey } from './machine-record.js';

/** What scale-in needs of the leader. */
export interface ScaleInDependencies extends Omit<FleetDependencies, 'wall'> {
  readonly duty: Duty;
  readonly machines: MachineIndex;
  readonly refusals: CapacityRefusals;
}

/** State: machines that this process released lately. */
export class ScaleIn {
  /** By machine, ms by the steady clock. */
  private readonly releasedAt = new Map<string, number>();

  constructor(private readonly input: ScaleInDependencies) {}

  /** Was the machine released lately by this process? */
  wasRecentlyReleased(machine: string): boolean {
    return this.releasedAt.has(machine);
  }

  /** Forgets releases that are older, whose machines the cloud's list no longer shows. */
  forgetReleasesOlderThan(ms: number): void {
    const now = this.input.now();
    for (const [id, at] of this.releasedAt) if (now - at > ms) this.releasedAt.delete(id);
  }

  /**
   * Releases machines at the request of their shard's holder while nothing can be written; true: they are
   * gone. Their records are deleted as usual later, after one more release, which changes nothing. Only a
   * controller that certainly leads may say that they are gone.
   */
  async releaseNow(machines: readonly string[]): Promise<boolean> {
    if (machines.length > MAX_MACHINES_PER_RELEASE_REQUEST) return false;
    const permit = this.input.duty.begin('return at once');
    if (permit === null) return false;
    try {
      const released = await Effect.runPromise(this.input.cloud.release(machines, permit));
      log.info({ event: 'machine.released_at_once', machines, ok: released });
      if (released) for (const id of machines) this.releasedAt.set(id, this.input.now());
      return released;
    } finally {
      permit.end();
    }
  }

  /**
   * Releases the machines whose records ask for it: that record is the durable intent, which no holder of the
   * shard takes back.
   */
  readonly releaseRequestedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    // As many as one call takes: the cloud's request rate is scarce, and provisioning needs it too.
    const ids = [...this.input.machines.releasing].slice(0, MAX_MACHINES_PER_RELEASE_REQUEST);
    if (ids.length === 0) return;
    const permit = this.input.duty.begin('release request');
    if (permit === null) return;
    yield* Effect.ensuring(this.release(permit, ids), Effect.sync(permit.end));
  });

  private release(permit: Permit, ids: readonly string[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const entries = ids.flatMap((id) => this.input.cache.get(machineKey(id)) ?? []);
      const released = yield* this.input.cloud.release(ids, permit);
      log.info({ event: 'machine.released', machines: ids, ok: released });
      if (!released) return;
      for (const id of ids) {
        this.releasedAt.set(id, this.input.now());
        const record = this.input.machines.get(id);
        // What was released may be provisioned again.
        if (record) this.input.refusals.clear(kindKey(record.type, record.zone, record.spot));
      }
      const { maxTransactionWrites } = this.input.store;
      const batchSize = Math.min(maxTransactionWrites, MAX_RECORD_DELETIONS_PER_TRANSACTION);
      while (entries.length > 0) yield* this.deleteRecords(permit, entries.splice(0, batchSize));
    });
  }

  /**
   * Deletes records of machines that are gone. What is not deleted is released once more, which changes
   * nothing.
   */
  private deleteRecords(permit: Permit, entries: readonly StoredEntry[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let attempt = 0; attempt < RECORD_DELETION_ATTEMPTS; attempt += 1) {
        const result = yield* fencedTransaction(
          this.input.store,
          permit,
          entries.map(({ key, version }) => ({ key, version })),
          entries.map(({ key }) => ({ _tag: 'delete', key })),
          'bind',
        );
        if (result._tag === 'committed' || result._tag === 'conflict') return;
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
      }
    });
  }
}
