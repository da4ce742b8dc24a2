import type { Duty } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  MACHINE_LIST_INTERVAL_MS,
  RETURNED_MACHINE_LISTING_FACTOR,
  UNKNOWN_MACHINE_LAG_FACTOR,
  UNKNOWN_MACHINE_SLACK_S,
} from '../constants/fleet.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { AdoptionQueue } from './adoption-queue.js';
import type { Cloud, ListedMachine, MachinesResult } from './cloud.js';
import type { MachineIndex } from './machine-index.js';
import type { MachineRecorder } from './machine-recorder.js';
import { newMachineRecord } from './records.js';
import type { ScaleIn } from './scale-in.js';

/** What the adopter needs of the leader. */
export interface AdopterInput {
  readonly store: KeyValueStore;
  readonly cache: Pick<WatchCache, 'get'>;
  readonly cloud: Cloud;
  readonly duty: Duty;
  readonly queue: AdoptionQueue;
  readonly machines: MachineIndex;
  readonly recorder: MachineRecorder;
  readonly scaleIn: ScaleIn;
  readonly shardCount: number;
  readonly listLagS: number;
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
}

/** Finds machines that no record knows, and gives each to the share that has the fewest of its kind. */
export class Adopter {
  private listedAt = 0;

  constructor(private readonly input: AdopterInput) {}

  /** A worker that no record knows reported somewhere, or the cloud lists its machine. */
  adopt(id: string, type: string, zone: string, spot: boolean, at = 0): void {
    const { cache, queue, scaleIn } = this.input;
    if (cache.get(machineKey(id)) !== undefined || queue.has(id) || scaleIn.returned(id)) return;
    // By a report its age is not known, and a late copy may speak of a machine long gone: it is not taken for
    // one that boots, and goes back if it is not heard from within a lease.
    queue.add(id, newMachineRecord(this.smallestShard(type, zone, spot), { type, zone, spot }, at));
  }

  private smallestShard(type: string, zone: string, spot: boolean): number {
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
  readonly record: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const permit = this.input.duty.begin('machine record');
    if (permit === null) return;
    // Each unknown worker asks around once a second until it is recorded, so all that fit go at once; the
    // rate is owed.
    const batch = this.input.queue.take(this.input.store.maxTransactionWrites);
    const fresh = batch.filter(([id]) => this.input.cache.get(machineKey(id)) === undefined);
    if (fresh.length > 0) {
      const result = yield* this.input.recorder.record(permit, fresh);
      log.info({ event: 'machine.adopted', machines: fresh.map(([id]) => id), result });
    }
    permit.end();
  });

  /** Machines that nobody knows are used or returned; those that stopped by themselves are cleared away. */
  readonly readList: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const now = this.input.now();
    if (now - this.listedAt < MACHINE_LIST_INTERVAL_MS) return;
    this.listedAt = now;
    const listed = yield* this.list;
    if (listed === null) return;
    const lagS = this.input.listLagS * UNKNOWN_MACHINE_LAG_FACTOR + UNKNOWN_MACHINE_SLACK_S;
    this.input.scaleIn.forgetOlderThan(lagS * RETURNED_MACHINE_LISTING_FACTOR * 1_000);
    for (const { id, type, zone, spot, ageS } of listed) {
      if (ageS >= lagS) this.adopt(id, type, zone, spot, this.input.wall() - ageS * 1_000);
    }
  });

  /** All pages of the machine list; null: one could not be read. */
  private readonly list: Effect.Effect<readonly ListedMachine[] | null> = Effect.gen(
    { self: this },
    function* () {
      const listed: ListedMachine[] = [];
      let after: string | null = null;
      for (;;) {
        const page: MachinesResult = yield* this.input.cloud.page(after);
        if (page._tag === 'failed') return null;
        listed.push(...page.machines);
        const last = page.machines.at(-1);
        if (!page.more || !last) return listed;
        after = last.id;
      }
    },
  );
}
