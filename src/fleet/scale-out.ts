import {
  settlementsFor,
  type Duty,
  type Permit,
  type ProvisioningIntent,
  type ProvisioningJournal,
  type ProvisioningOutcome,
  type Settlement,
} from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  MAX_CONCURRENT_PROVISIONING_REQUESTS,
  PROVISIONING_RECOVERY_RETRY_DELAY_MS,
  PROVISIONING_RETRIES,
} from '../constants/fleet.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import type { AdoptionQueue } from './adoption-queue.js';
import type { CapacityRefusals } from './capacity-refusals.js';
import type { Cloud, ProvisioningRequest, ProvisioningResult } from './cloud.js';
import { kindKey } from './machine-index.js';
import type { MachineRecorder, NewMachine } from './machine-recorder.js';
import type { Step } from './scaling-plan.js';
import { newMachineRecord, type MachineRecord } from './records.js';

/** A step of the leader's plan that rents machines. */
export type ProvisioningStep = Step & { readonly _tag: 'rent' };

/** What the renter needs of the leader. */
export interface ScaleOutDependencies {
  readonly store: KeyValueStore;
  readonly cloud: Cloud;
  readonly duty: Duty;
  /** Announces requests durably before they are sent; null: they are sent at once. */
  readonly journal: ProvisioningJournal | null;
  readonly recorder: MachineRecorder;
  readonly adopting: AdoptionQueue;
  readonly refusals: CapacityRefusals;
  /** ms since the epoch. */
  readonly wall: () => number;
}

const OUTCOMES: Readonly<Record<ProvisioningResult['_tag'], ProvisioningOutcome>> = {
  rented: 'rented',
  noCapacity: 'no capacity',
  refused: 'refused',
  withheld: 'withheld',
  unknown: 'unanswered',
};

const kindOf = ({
  machineType,
  zone,
  spot,
}: ProvisioningIntent): Pick<MachineRecord, 'type' | 'zone' | 'spot'> => ({
  type: machineType,
  zone,
  spot,
});

const requestOf = (intent: ProvisioningIntent): ProvisioningRequest => ({
  name: intent.name,
  type: intent.machineType,
  zone: intent.zone,
  spot: intent.spot,
  count: intent.shardIds.length,
});

/** Rents machines: one request a kind at a time, each under a name that is never used for another. */
export class ScaleOut {
  private sequence = 0;
  /** Kinds of machines that are being rented this very moment. */
  private readonly renting = new Set<string>();

  constructor(private readonly input: ScaleOutDependencies) {}

  /** Rents what the plan asks for, beside what is under way already. */
  begin(step: ProvisioningStep): void {
    const kind = kindKey(step.type, step.zone, step.spot);
    // What is asked for already shows in the next summaries.
    if (this.renting.has(kind) || this.renting.size >= MAX_CONCURRENT_PROVISIONING_REQUESTS) return;
    const permit = this.input.duty.begin('rental request');
    if (permit === null) return;
    this.renting.add(kind);
    const done = Effect.sync(() => {
      this.renting.delete(kind);
      permit.end();
    });
    Effect.runFork(Effect.ensuring(this.provision(permit, this.intentOf(permit, step)), done));
  }

  private intentOf(permit: Permit, step: ProvisioningStep): ProvisioningIntent {
    this.sequence += 1;
    return {
      // The claim's revision is durable and belongs to this process alone: such a name is never used twice.
      name: `r-${permit.token}-${this.sequence}`,
      machineType: step.type,
      zone: step.zone,
      spot: step.spot,
      shardIds: Array.from({ length: step.count }, (_, index) => step.shardIds[index] ?? 0),
      at: this.input.wall(),
    };
  }

  private provision(permit: Permit, intent: ProvisioningIntent): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { journal } = this.input;
      const kind = kindKey(intent.machineType, intent.zone, intent.spot);
      if (journal) {
        const announced = yield* Effect.promise(() => journal.announce(intent));
        if (announced !== 'announced') {
          log.info({ event: 'machine.rent_not_announced', name: intent.name, why: announced });
          return;
        }
      }
      const result = yield* this.request(permit, intent);
      this.noteCapacity(kind, intent, result);
      if (result._tag === 'rented') yield* this.record(permit, intent, result.machines);
      journal?.recordOutcome(intent.name, OUTCOMES[result._tag], machinesOf(result).length);
    });
  }

  /**
   * Without an answer the same request is sent again under its name: that rents nothing more, and tells what
   * came of it.
   */
  private request(permit: Permit, intent: ProvisioningIntent): Effect.Effect<ProvisioningResult> {
    return Effect.gen({ self: this }, function* () {
      const repeats = this.input.journal ? PROVISIONING_RETRIES : 0;
      for (let tries = 0; ; tries += 1) {
        const result = yield* this.input.cloud.provision(requestOf(intent), permit);
        const machines = machinesOf(result);
        log.info({
          event: 'machine.rent',
          name: intent.name,
          type: intent.machineType,
          zone: intent.zone,
          spot: intent.spot,
          count: intent.shardIds.length,
          shards: intent.shardIds.join(),
          result: result._tag,
          got: result._tag === 'rented' ? machines : undefined,
        });
        if (result._tag !== 'unknown' || tries >= repeats) return result;
      }
    });
  }

  private noteCapacity(kind: string, intent: ProvisioningIntent, result: ProvisioningResult): void {
    const { refusals } = this.input;
    switch (result._tag) {
      case 'rented':
        if (result.machines.length < intent.shardIds.length) refusals.refused(kind);
        else refusals.lift(kind);
        return;
      case 'noCapacity':
        refusals.refused(kind);
        return;
      case 'refused':
      case 'unknown':
        refusals.failed(kind);
        return;
      case 'withheld':
        return;
    }
  }

  private record(
    permit: Permit,
    intent: ProvisioningIntent,
    machines: readonly string[],
  ): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const at = this.input.wall();
      const made = machines.map((id, index): NewMachine => [
        id,
        newMachineRecord(intent.shardIds[index] ?? 0, kindOf(intent), at),
      ]);
      while (made.length > 0) {
        const batch = made.splice(0, this.input.store.batchWrites);
        const written = yield* this.input.recorder.record(permit, batch);
        // Without an answer they may be recorded yet; if they are, they are known before the next try.
        if (written !== 'committed') for (const [id, record] of batch) this.input.adopting.add(id, record);
      }
    });
  }

  /** Settles what an earlier leader left open, before this one rents anything. Repeated until it succeeds. */
  readonly settle: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const { duty } = this.input;
    const permit = duty.beginSettlement('settlement of rental requests');
    if (permit === null) return;
    const settled = yield* Effect.ensuring(this.settleUnder(permit), Effect.sync(permit.end));
    if (settled) duty.apply({ _tag: 'settled', token: permit.token });
    else yield* Effect.sleep(PROVISIONING_RECOVERY_RETRY_DELAY_MS);
  });

  private settleUnder(permit: Permit): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { journal } = this.input;
      if (journal === null) return true;
      const book = yield* Effect.promise(() => journal.load(permit.token));
      if (book === null) return false;
      if (book.malformed.length > 0) log.error({ event: 'rental_intent.malformed', entries: book.malformed });
      for (const settlement of settlementsFor(book, this.input.wall())) {
        const outcome = yield* this.settleOne(permit, settlement);
        // Not ours to settle any more: whoever is the holder now does it.
        if (outcome === 'withheld') return false;
        journal.recordOutcome(settlement.intent.name, outcome);
      }
      return true;
    });
  }

  private settleOne(permit: Permit, { _tag, intent }: Settlement): Effect.Effect<ProvisioningOutcome> {
    return Effect.gen({ self: this }, function* () {
      log.info({ event: 'rental_intent.settled', how: _tag, name: intent.name });
      if (_tag === 'abandon') return 'abandoned';
      const result = yield* this.request(permit, intent);
      if (result._tag === 'withheld') return 'withheld';
      if (result._tag !== 'rented') return 'abandoned';
      // Some may have been recorded by the earlier leader: the queue leaves out those that are known.
      result.machines.forEach((id, index) => {
        const shardId = intent.shardIds[index] ?? 0;
        this.input.adopting.add(id, newMachineRecord(shardId, kindOf(intent), intent.at));
      });
      return 'repeated by successor';
    });
  }
}

const machinesOf = (result: ProvisioningResult): readonly string[] =>
  result._tag === 'rented' ? result.machines : [];
