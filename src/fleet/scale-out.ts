/**
 * Provisions machines: sends the requests of the scaling plan, writes the records of the provisioned
 * machines, and settles the requests that an earlier leader left open. Called by the leader.
 */
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
  MAX_PROVISIONING_RETRIES,
} from '../constants/fleet.js';
import { log } from '../log.js';
import type { AdoptionQueue } from './adoption-queue.js';
import type { CapacityRefusals } from './capacity-refusals.js';
import type { ProvisioningRequest, ProvisioningResult } from './cloud-model.js';
import type { FleetDependencies } from './dependencies.js';
import { kindKey, newMachineRecord, type MachineKind, type NewMachine } from './machine-record.js';
import type { MachineRecorder } from './machine-recorder.js';
import type { ProvisioningStep } from './scaling-model.js';

/** Dependencies of scale-out on the leader. */
export interface ScaleOutDependencies extends Pick<FleetDependencies, 'store' | 'cloud' | 'wall'> {
  readonly duty: Duty;
  /** Stores requests durably before they are sent; null: they are sent without a journal. */
  readonly journal: ProvisioningJournal | null;
  readonly recorder: MachineRecorder;
  readonly adoptionQueue: AdoptionQueue;
  readonly refusals: CapacityRefusals;
}

/** The outcome that the journal stores for each result. */
const OUTCOMES: Readonly<Record<ProvisioningResult['_tag'], ProvisioningOutcome>> = {
  rented: 'rented',
  noCapacity: 'no capacity',
  refused: 'refused',
  withheld: 'withheld',
  unknown: 'unanswered',
};

const kindOf = ({ machineType, zone, spot }: ProvisioningIntent): MachineKind => ({
  type: machineType,
  zone,
  spot,
});

const requestOf = (intent: ProvisioningIntent): ProvisioningRequest => ({
  name: intent.name,
  ...kindOf(intent),
  count: intent.shardIds.length,
});

const machinesOf = (result: ProvisioningResult): readonly string[] =>
  result._tag === 'rented' ? result.machines : [];

/**
 * The machines that a request provisioned, each with the record to write for it. `at` is the provisioning
 * time, in ms since the epoch.
 */
const newMachines = (
  intent: ProvisioningIntent,
  machines: readonly string[],
  at: number,
): readonly NewMachine[] =>
  machines.map((id, index) => ({
    id,
    record: newMachineRecord(intent.shardIds[index] ?? 0, kindOf(intent), at),
  }));

const logAnswer = (intent: ProvisioningIntent, result: ProvisioningResult): void => {
  log.info({
    event: 'provisioning.answered',
    name: intent.name,
    type: intent.machineType,
    zone: intent.zone,
    spot: intent.spot,
    count: intent.shardIds.length,
    shards: intent.shardIds.join(),
    result: result._tag,
    machines: result._tag === 'rented' ? result.machines : undefined,
  });
};

/**
 * State: the kinds for which a request is in flight (one request each), and the number of requests so far.
 */
export class ScaleOut {
  private sequence = 0;
  private readonly requestedKinds = new Set<string>();

  constructor(private readonly dependencies: ScaleOutDependencies) {}

  /** Starts a request of the plan, unless one of the same kind or too many requests are in flight. */
  startProvisioning(step: ProvisioningStep): void {
    const kind = kindKey(step.type, step.zone, step.spot);
    // Later summaries reflect the machines of the request in flight.
    if (this.requestedKinds.has(kind)) return;
    if (this.requestedKinds.size >= MAX_CONCURRENT_PROVISIONING_REQUESTS) return;
    const permit = this.dependencies.duty.begin('rental request');
    if (permit === null) return;
    this.requestedKinds.add(kind);
    const finish = Effect.sync(() => {
      this.requestedKinds.delete(kind);
      permit.end();
    });
    Effect.runFork(Effect.ensuring(this.provision(permit, this.intentOf(permit, step)), finish));
  }

  private intentOf(permit: Permit, step: ProvisioningStep): ProvisioningIntent {
    this.sequence += 1;
    return {
      // The revision of the claim is durable and belongs to this process alone: no name is used twice.
      name: `r-${permit.token}-${this.sequence}`,
      machineType: step.type,
      zone: step.zone,
      spot: step.spot,
      shardIds: step.shardIds,
      at: this.dependencies.wall(),
    };
  }

  private provision(permit: Permit, intent: ProvisioningIntent): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { journal } = this.dependencies;
      log.debug({ event: 'provisioning.decided', name: intent.name });
      if (journal) {
        const announced = yield* Effect.promise(() => journal.announce(intent));
        if (announced !== 'announced') {
          log.info({ event: 'provisioning.not_announced', name: intent.name, why: announced });
          return;
        }
        log.debug({ event: 'provisioning.announced', name: intent.name });
      }
      const result = yield* this.request(permit, intent);
      this.updateRefusals(intent, result);
      if (result._tag === 'rented') yield* this.record(permit, intent, result.machines);
      journal?.recordOutcome(intent.name, OUTCOMES[result._tag], machinesOf(result).length);
    });
  }

  /**
   * Sends the request. If there is no response, the request is sent again under the same name: the cloud does
   * not carry it out a second time and returns its outcome.
   */
  private request(permit: Permit, intent: ProvisioningIntent): Effect.Effect<ProvisioningResult> {
    return Effect.gen({ self: this }, function* () {
      const maxRetries = this.dependencies.journal ? MAX_PROVISIONING_RETRIES : 0;
      for (let attempt = 0; ; attempt += 1) {
        const result = yield* this.dependencies.cloud.provision(requestOf(intent), permit);
        logAnswer(intent, result);
        if (result._tag !== 'unknown' || attempt >= maxRetries) return result;
      }
    });
  }

  private updateRefusals(intent: ProvisioningIntent, result: ProvisioningResult): void {
    const { refusals } = this.dependencies;
    const kind = kindKey(intent.machineType, intent.zone, intent.spot);
    switch (result._tag) {
      case 'rented':
        if (result.machines.length < intent.shardIds.length) refusals.recordRefusal(kind);
        else refusals.clear(kind);
        return;
      case 'noCapacity':
        refusals.recordRefusal(kind);
        return;
      case 'refused':
      case 'unknown':
        refusals.recordFailure(kind);
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
      const { store, recorder, adoptionQueue, wall } = this.dependencies;
      const unrecorded = [...newMachines(intent, machines, wall())];
      while (unrecorded.length > 0) {
        const batch = unrecorded.splice(0, store.batchWrites);
        const written = yield* recorder.record(permit, batch);
        // Without a response the write may still be applied; the cache shows that before the next attempt.
        if (written !== 'committed') for (const { id, record } of batch) adoptionQueue.add(id, record);
      }
    });
  }

  /**
   * Settles the requests that an earlier leader left open, before this leader provisions anything. The
   * leader repeats the settlement until it succeeds.
   */
  readonly settle: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const { duty } = this.dependencies;
    const permit = duty.beginSettlement('settlement of rental requests');
    if (permit === null) return;
    const settled = yield* Effect.ensuring(this.settleWithPermit(permit), Effect.sync(permit.end));
    if (settled) duty.apply({ _tag: 'settled', token: permit.token });
    else yield* Effect.sleep(PROVISIONING_RECOVERY_RETRY_DELAY_MS);
  });

  private settleWithPermit(permit: Permit): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { journal } = this.dependencies;
      if (journal === null) return true;
      const record = yield* Effect.promise(() => journal.load(permit.token));
      if (record === null) return false;
      if (record.malformed.length > 0)
        log.error({ event: 'provisioning.intents_malformed', entries: record.malformed });
      for (const settlement of settlementsFor(record, this.dependencies.wall())) {
        const outcome = yield* this.settleIntent(permit, settlement);
        // This controller lost the leader claim: the new leader settles the remaining requests.
        if (outcome === 'withheld') return false;
        journal.recordOutcome(settlement.intent.name, outcome);
      }
      return true;
    });
  }

  private settleIntent(permit: Permit, { _tag, intent }: Settlement): Effect.Effect<ProvisioningOutcome> {
    return Effect.gen({ self: this }, function* () {
      log.info({ event: 'provisioning.intent_settled', how: _tag, name: intent.name });
      if (_tag === 'abandon') return 'abandoned';
      const result = yield* this.request(permit, intent);
      if (result._tag === 'withheld') return 'withheld';
      if (result._tag !== 'rented') return 'abandoned';
      // The earlier leader may have recorded some machines: the adopter skips machines that have a record.
      for (const { id, record } of newMachines(intent, result.machines, intent.at))
        this.dependencies.adoptionQueue.add(id, record);
      return 'repeated by successor';
    });
  }
}
