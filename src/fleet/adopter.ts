/**
 * Adopts machines that have no record: workers that report, and machines that the cloud lists. Each goes to
 * the shard that has the fewest of its kind. Called by the leader; the machines wait in the `AdoptionQueue`.
 */
import type { Duty } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  MACHINE_LIST_INTERVAL_MS,
  RELEASED_MACHINE_LISTING_FACTOR,
  UNRECORDED_MACHINE_LAG_FACTOR,
  UNRECORDED_MACHINE_SLACK_S,
} from '../constants/fleet.js';
import { log } from '../log.js';
import { machineKey } from '../kv-store/keys.js';
import type { AdoptionQueue } from './adoption-queue.js';
import type { ListedMachine, MachinePageResult } from './cloud-model.js';
import type { FleetDependencies } from './dependencies.js';
import type { MachineIndex } from './machine-index.js';
import type { MachineRecorder } from './machine-recorder.js';
import { newMachineRecord, type MachineKind } from './machine-record.js';
import type { ScaleIn } from './scale-in.js';

/** What the adopter needs of the leader. */
export interface AdopterDependencies extends FleetDependencies {
  readonly duty: Duty;
  readonly queue: AdoptionQueue;
  readonly machines: MachineIndex;
  readonly recorder: MachineRecorder;
  readonly scaleIn: ScaleIn;
  readonly shardCount: number;
  /** How late the cloud's machine list may be, in s. */
  readonly listLagS: number;
}

/** State: when the machine list was last read. */
export class Adopter {
  /** ms, by the steady clock. */
  private listedAt = 0;

  constructor(private readonly input: AdopterDependencies) {}

  /**
   * A worker reported whose machine has no record, or the cloud lists the machine. `at`: when it was
   * provisioned, in ms since the epoch. A report doesn't tell that, and a late copy may speak of a machine
   * long gone: with 0 it is not taken for one that boots, and is released if its worker doesn't report within
   * a lease.
   */
  adopt(id: string, kind: MachineKind, at = 0): void {
    const { cache, queue, scaleIn } = this.input;
    if (cache.get(machineKey(id)) !== undefined || queue.has(id) || scaleIn.wasRecentlyReleased(id)) return;
    queue.add(id, newMachineRecord(this.smallestShard(kind), kind, at));
  }

  private smallestShard({ type, zone, spot }: MachineKind): number {
    let best = 0;
    let least = Number.POSITIVE_INFINITY;
    for (let shardId = 0; shardId < this.input.shardCount; shardId += 1) {
      const weight =
        this.input.machines.shards.weight(shardId, type, zone, spot) +
        this.input.queue.counts.weight(shardId, type, zone, spot);
      if (weight >= least) continue;
      least = weight;
      best = shardId;
    }
    return best;
  }

  /** Writes the records of machines that wait for them. */
  readonly recordQueuedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const permit = this.input.duty.begin('machine record');
    if (permit === null) return;
    // Each unknown worker reports to all controllers once a second until it is recorded, so all that fit go
    // at once, on credit of the request rate.
    const batch = this.input.queue.take(this.input.store.maxTransactionWrites);
    const unrecorded = batch.filter(({ id }) => this.input.cache.get(machineKey(id)) === undefined);
    if (unrecorded.length > 0) {
      const result = yield* this.input.recorder.record(permit, unrecorded);
      log.info({ event: 'machine.adopted', machines: unrecorded.map(({ id }) => id), result });
    }
    permit.end();
  });

  /** Adopts listed machines that have had no record for longer than the list may be late. */
  readonly adoptListedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const now = this.input.now();
    if (now - this.listedAt < MACHINE_LIST_INTERVAL_MS) return;
    this.listedAt = now;
    const listed = yield* this.readList;
    if (listed === null) return;
    const lagS = this.input.listLagS * UNRECORDED_MACHINE_LAG_FACTOR + UNRECORDED_MACHINE_SLACK_S;
    this.input.scaleIn.forgetReleasesOlderThan(lagS * RELEASED_MACHINE_LISTING_FACTOR * 1_000);
    for (const { id, type, zone, spot, ageS } of listed) {
      if (ageS >= lagS) this.adopt(id, { type, zone, spot }, this.input.wall() - ageS * 1_000);
    }
  });

  /** All pages of the machine list; null: one could not be read. */
  private readonly readList: Effect.Effect<readonly ListedMachine[] | null> = Effect.gen(
    { self: this },
    function* () {
      const listed: ListedMachine[] = [];
      let after: string | null = null;
      for (;;) {
        const page: MachinePageResult = yield* this.input.cloud.listMachines(after);
        if (page._tag === 'failed') return null;
        listed.push(...page.machines);
        const last = page.machines.at(-1);
        if (!page.more || !last) return listed;
        after = last.id;
      }
    },
  );
}
