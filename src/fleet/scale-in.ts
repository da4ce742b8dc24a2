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

/** Dependencies of scale-in on the leader. */
export interface ScaleInDependencies extends Omit<FleetDependencies, 'wall'> {
  readonly duty: Duty;
  readonly machines: MachineIndex;
  readonly refusals: CapacityRefusals;
}

/** State: machines that this process released recently. */
export class ScaleIn {
  /** By machine: the time of its release, in ms on the steady clock. */
  private readonly releasedAt = new Map<string, number>();

  constructor(private readonly dependencies: ScaleInDependencies) {}

  /** Whether this process released the machine recently. */
  wasRecentlyReleased(machine: string): boolean {
    return this.releasedAt.has(machine);
  }

  /** Forgets releases that are older than `ms`: the cloud's list no longer shows their machines. */
  forgetReleasesOlderThan(ms: number): void {
    const now = this.dependencies.now();
    for (const [id, at] of this.releasedAt) if (now - at > ms) this.releasedAt.delete(id);
  }

  /**
   * Releases machines at the request of the holder of their shard while the key-value store is not writable.
   * Resolves with whether they are gone, which only a controller with a valid leader claim may confirm. Their
   * records are deleted later as usual, after one more release request, which has no effect.
   */
  async releaseNow(machines: readonly string[]): Promise<boolean> {
    if (machines.length > MAX_MACHINES_PER_RELEASE_REQUEST) return false;
    const permit = this.dependencies.duty.begin('return at once');
    if (permit === null) return false;
    try {
      const released = await Effect.runPromise(this.dependencies.cloud.release(machines, permit));
      log.info({ event: 'machine.released_at_once', machines, ok: released });
      if (released) for (const id of machines) this.releasedAt.set(id, this.dependencies.now());
      return released;
    } finally {
      permit.end();
    }
  }

  /**
   * Releases the machines whose records request it. The record is the durable intent, which no holder of the
   * shard withdraws.
   */
  readonly releaseRequestedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    // One request releases as many machines as it may: the cloud's rate is low and shared with provisioning.
    const ids = [...this.dependencies.machines.releasing].slice(0, MAX_MACHINES_PER_RELEASE_REQUEST);
    if (ids.length === 0) return;
    const permit = this.dependencies.duty.begin('release request');
    if (permit === null) return;
    yield* Effect.ensuring(this.release(permit, ids), Effect.sync(permit.end));
  });

  private release(permit: Permit, ids: readonly string[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const entries = ids.flatMap((id) => this.dependencies.cache.get(machineKey(id)) ?? []);
      const released = yield* this.dependencies.cloud.release(ids, permit);
      log.info({ event: 'machine.released', machines: ids, ok: released });
      if (!released) return;
      for (const id of ids) {
        this.releasedAt.set(id, this.dependencies.now());
        const record = this.dependencies.machines.get(id);
        // The cloud has capacity for this kind again.
        if (record) this.dependencies.refusals.clear(kindKey(record.type, record.zone, record.spot));
      }
      const { maxTransactionWrites } = this.dependencies.store;
      const batchSize = Math.min(maxTransactionWrites, MAX_RECORD_DELETIONS_PER_TRANSACTION);
      while (entries.length > 0) yield* this.deleteRecords(permit, entries.splice(0, batchSize));
    });
  }

  /**
   * Deletes records of machines that are gone. A machine whose record could not be deleted is released
   * again, which has no further effect.
   */
  private deleteRecords(permit: Permit, entries: readonly StoredEntry[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let attempt = 0; attempt < RECORD_DELETION_ATTEMPTS; attempt += 1) {
        const result = yield* fencedTransaction(
          this.dependencies.store,
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
