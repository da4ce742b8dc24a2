/**
 * Adopts machines that have no record: machines whose workers send heartbeats, and machines that the cloud
 * lists. Each machine is assigned to the shard with the fewest machines of its kind. Called by the leader;
 * the machines wait in the `AdoptionQueue`.
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

/** Dependencies of the adopter on the leader. */
export interface AdopterDependencies extends FleetDependencies {
  readonly duty: Duty;
  readonly queue: AdoptionQueue;
  readonly machines: MachineIndex;
  readonly recorder: MachineRecorder;
  readonly scaleIn: ScaleIn;
  readonly shardCount: number;
  /** Maximum staleness of the cloud's machine list, in s. */
  readonly listLagS: number;
}

/** State: when the machine list was last read. */
export class Adopter {
  /** When the machine list was last read, in ms on the steady clock. */
  private listReadAt = 0;

  constructor(private readonly dependencies: AdopterDependencies) {}

  /**
   * Queues a machine without a record, whose worker sent a heartbeat or which the cloud lists. `at` is the
   * time of its provisioning, in ms since the epoch; 0: not known. A heartbeat doesn't contain that time, and
   * a late copy of a heartbeat may name a machine that is long gone. With 0 the machine doesn't count as
   * booting, and is released if its worker doesn't send a heartbeat within a lease.
   */
  adopt(id: string, kind: MachineKind, at = 0): void {
    const { cache, queue, scaleIn } = this.dependencies;
    if (cache.get(machineKey(id)) !== undefined || queue.has(id) || scaleIn.wasRecentlyReleased(id)) return;
    queue.add(id, newMachineRecord(this.leastPopulatedShard(kind), kind, at));
  }

  private leastPopulatedShard({ type, zone, spot }: MachineKind): number {
    let best = 0;
    let leastWeight = Number.POSITIVE_INFINITY;
    for (let shardId = 0; shardId < this.dependencies.shardCount; shardId += 1) {
      const weight =
        this.dependencies.machines.shards.weight(shardId, type, zone, spot) +
        this.dependencies.queue.counts.weight(shardId, type, zone, spot);
      if (weight >= leastWeight) continue;
      leastWeight = weight;
      best = shardId;
    }
    return best;
  }

  /** Writes the records of machines in the queue. */
  readonly recordQueuedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const permit = this.dependencies.duty.begin('machine record');
    if (permit === null) return;
    // An unknown worker sends a heartbeat to each controller every second until its machine is recorded. So
    // one transaction holds as many records as it can; the rate limiter lets it overdraw the request rate.
    const batch = this.dependencies.queue.take(this.dependencies.store.maxTransactionWrites);
    const unrecorded = batch.filter(({ id }) => this.dependencies.cache.get(machineKey(id)) === undefined);
    if (unrecorded.length > 0) {
      const result = yield* this.dependencies.recorder.record(permit, unrecorded);
      log.info({ event: 'machine.adopted', machines: unrecorded.map(({ id }) => id), result });
    }
    permit.end();
  });

  /** Adopts listed machines without a record that are too old for the list's staleness to explain that. */
  readonly adoptListedMachines: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const now = this.dependencies.now();
    if (now - this.listReadAt < MACHINE_LIST_INTERVAL_MS) return;
    this.listReadAt = now;
    const listed = yield* this.readMachineList;
    if (listed === null) return;
    const minAgeS = this.dependencies.listLagS * UNRECORDED_MACHINE_LAG_FACTOR + UNRECORDED_MACHINE_SLACK_S;
    this.dependencies.scaleIn.forgetReleasesOlderThan(minAgeS * RELEASED_MACHINE_LISTING_FACTOR * 1_000);
    for (const { id, type, zone, spot, ageS } of listed) {
      if (ageS >= minAgeS) this.adopt(id, { type, zone, spot }, this.dependencies.wall() - ageS * 1_000);
    }
  });

  /** Reads all pages of the machine list; null: a page could not be read. */
  private readonly readMachineList: Effect.Effect<readonly ListedMachine[] | null> = Effect.gen(
    { self: this },
    function* () {
      const listed: ListedMachine[] = [];
      let after: string | null = null;
      for (;;) {
        const page: MachinePageResult = yield* this.dependencies.cloud.listMachines(after);
        if (page._tag === 'failed') return null;
        listed.push(...page.machines);
        const last = page.machines.at(-1);
        if (!page.more || !last) return listed;
        after = last.id;
      }
    },
  );
}
