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
import type { KeyValueStore } from '../kv-store/client.js';
import type { StoredEntry } from '../kv-store/model.js';
import { machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { CapacityRefusals } from './capacity-refusals.js';
import type { Cloud } from './cloud.js';
import { kindKey, type MachineIndex } from './machine-index.js';

/** What the returner needs of the leader. */
export interface ScaleInDependencies {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly cloud: Cloud;
  readonly duty: Duty;
  readonly machines: MachineIndex;
  readonly refusals: CapacityRefusals;
  readonly now: () => number;
}

/** Returns machines to the cloud, and removes the records of those that are gone. */
export class ScaleIn {
  private readonly releasedAt = new Map<string, number>();

  constructor(private readonly input: ScaleInDependencies) {}

  /** Was the machine returned lately by this process? */
  returned(machine: string): boolean {
    return this.releasedAt.has(machine);
  }

  /** Lets go of what lists no longer show. */
  forgetOlderThan(ms: number): void {
    const now = this.input.now();
    for (const [id, at] of this.releasedAt) if (now - at > ms) this.releasedAt.delete(id);
  }

  /**
   * Returns machines that their holder asks to be rid of while nothing can be written. Their records go the
   * usual way later, and are released once more then, which changes nothing. Only who surely leads may say
   * that they are gone.
   */
  async releaseNow(machines: readonly string[]): Promise<boolean> {
    if (machines.length > MAX_MACHINES_PER_RELEASE_REQUEST) return false;
    const permit = this.input.duty.begin('return at once');
    if (permit === null) return false;
    try {
      const released = await Effect.runPromise(this.input.cloud.release(machines, permit));
      log.info({ event: 'machine.returned_at_once', machines, ok: released });
      if (released) for (const id of machines) this.releasedAt.set(id, this.input.now());
      return released;
    } finally {
      permit.end();
    }
  }

  /**
   * Returns the machines whose records ask for it: that record is the durable intent, which no holder
   * contradicts.
   */
  readonly releaseRequested: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    // As many as one call takes: the cloud's rate is the scarcest, and replacements need it too.
    const ids = [...this.input.machines.releasing].slice(0, MAX_MACHINES_PER_RELEASE_REQUEST);
    if (ids.length === 0) return;
    const permit = this.input.duty.begin('release request');
    if (permit === null) return;
    yield* Effect.ensuring(this.release(permit, ids), Effect.sync(permit.end));
  });

  private release(permit: Permit, ids: readonly string[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const wanted = ids.flatMap((id) => this.input.cache.get(machineKey(id)) ?? []);
      const released = yield* this.input.cloud.release(ids, permit);
      log.info({ event: 'machine.released', machines: ids, ok: released });
      if (!released) return;
      for (const id of ids) {
        this.releasedAt.set(id, this.input.now());
        const record = this.input.machines.get(id);
        // What we gave back may be had again.
        if (record) this.input.refusals.lift(kindKey(record.type, record.zone, record.spot));
      }
      while (wanted.length > 0)
        yield* this.forget(
          permit,
          wanted.splice(
            0,
            Math.min(this.input.store.maxTransactionWrites, MAX_RECORD_DELETIONS_PER_TRANSACTION),
          ),
        );
    });
  }

  /**
   * Records of machines that are gone; what is not deleted now is released once more, which changes nothing.
   */
  private forget(permit: Permit, gone: readonly StoredEntry[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < RECORD_DELETION_ATTEMPTS; tries += 1) {
        const result = yield* fencedTransaction(
          this.input.store,
          permit,
          gone.map((item) => ({ key: item.key, version: item.version })),
          gone.map((item) => ({ _tag: 'delete', key: item.key })),
          'bind',
        );
        if (result._tag === 'committed' || result._tag === 'conflict') return;
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
      }
    });
  }
}
