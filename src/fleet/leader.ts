/**
 * The leader: plans for all shards, provisions, releases and adopts machines, and orders their transfer.
 * Every controller has a leader object, which acts only while the controller holds the leader claim. Each
 * part of the leader owns its state; the leader itself only runs the loops.
 */
import type { ProvisioningJournal } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { LEADERSHIP_CHECK_INTERVAL_MS, LEADER_ROUND_INTERVAL_MS } from '../constants/fleet.js';
import type { ReleaseIntent } from '../duties/duties-report.js';
import type { DutyRegistry } from '../duties/duty-registry.js';
import type { Catalog } from '../jobs/model.js';
import { ActiveReservations } from './active-reservations.js';
import { Adopter } from './adopter.js';
import { AdoptionQueue } from './adoption-queue.js';
import { CapacityRefusals } from './capacity-refusals.js';
import { CatalogKeeper } from './catalog-keeper.js';
import type { FleetDependencies } from './dependencies.js';
import { MachineIndex } from './machine-index.js';
import { kindKey } from './machine-record.js';
import { MachineRecorder } from './machine-recorder.js';
import type { Reservation } from './reservation.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import type { ScalingStep } from './scaling-model.js';
import { planScaling } from './scaling-plan.js';
import type { ShardSummary } from './shard-summary.js';
import { TransferOrders, type SendTransferOrder } from './transfer-orders.js';

/** Dependencies of the leader on the rest of the controller. */
export interface LeaderDependencies extends FleetDependencies {
  readonly duties: Pick<DutyRegistry, 'leaderDuty'>;
  /** Stores provisioning requests durably before they are sent; null: they are sent without a journal. */
  readonly journal: ProvisioningJournal | null;
  readonly shardCount: number;
  /** Maximum staleness of the cloud's machine list, in s. */
  readonly listLagS: number;
  /** Largest value that the key-value store accepts, now or later, in bytes. */
  readonly valueBytes: number;
  /** Whether every controller can read a catalog that is stored in parts. */
  readonly maySplit: () => boolean;
  /** The known catalog; null: none is known yet. */
  readonly catalog: () => Catalog | null;
  /** Revision of this controller's leader claim; null: the controller must not act as the leader now. */
  readonly actingRevision: () => number | null;
  readonly summaries: () => readonly ShardSummary[];
  readonly orderTransfers: SendTransferOrder;
}

/** Composes the parts of the leader, and runs their rounds while this controller leads. */
export class Leader {
  private readonly adoptionQueue = new AdoptionQueue();
  private readonly machines = new MachineIndex();
  private readonly refusals: CapacityRefusals;
  private readonly recorder: MachineRecorder;
  private readonly activeReservations: ActiveReservations;
  private readonly transfers: TransferOrders;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly adopter: Adopter;
  private readonly catalogKeeper: CatalogKeeper;

  constructor(private readonly dependencies: LeaderDependencies) {
    const { cache, duties, now } = dependencies;
    const { adoptionQueue, machines } = this;
    const refusals = (this.refusals = new CapacityRefusals(now));
    const recorder = (this.recorder = new MachineRecorder(dependencies.store));
    this.activeReservations = new ActiveReservations(now);
    this.transfers = new TransferOrders({
      cache,
      now,
      duty: duties.leaderDuty('move'),
      machines,
      send: dependencies.orderTransfers,
    });
    this.scaleOut = new ScaleOut({
      ...dependencies,
      duty: duties.leaderDuty('rent'),
      recorder,
      adoptionQueue,
      refusals,
    });
    this.scaleIn = new ScaleIn({ ...dependencies, duty: duties.leaderDuty('release'), machines, refusals });
    this.adopter = new Adopter({
      ...dependencies,
      duty: duties.leaderDuty('adopt'),
      queue: adoptionQueue,
      machines,
      recorder,
      scaleIn: this.scaleIn,
    });
    this.catalogKeeper = new CatalogKeeper({ ...dependencies, duty: duties.leaderDuty('catalog') });
    cache.onEvent((event) => machines.onEvent(event));
  }

  /** The reservations in force; empty unless this controller is the leader. */
  get reservations(): readonly Reservation[] {
    return this.activeReservations.list;
  }

  /** Adopts the machine of a worker that sent a heartbeat although the machine has no record. */
  adopt(id: string, type: string, zone: string, spot: boolean): void {
    this.adopter.adopt(id, { type, zone, spot });
  }

  /** Releases machines while the key-value store is not writable; resolves with whether they are gone. */
  releaseNow(machines: readonly string[]): Promise<boolean> {
    return this.scaleIn.releaseNow(machines);
  }

  /** Machines whose records request their release. */
  get releaseIntents(): readonly ReleaseIntent[] {
    return [...this.machines.releasing].map((machine): ReleaseIntent => {
      const record = this.machines.get(machine);
      return {
        machine,
        shardId: record?.shardId ?? 0,
        reason: record?.release?.reason ?? null,
        token: record?.release?.token ?? null,
      };
    });
  }

  /**
   * Runs all loops concurrently: a slow response of the cloud must not delay transfers, and reading a long
   * machine list must not delay releases.
   */
  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      [
        this.whileLeading(Effect.andThen(this.adopter.recordQueuedMachines, this.executePlan)),
        this.whileLeading(this.scaleOut.settle),
        this.whileLeading(this.scaleIn.releaseRequestedMachines),
        this.whileLeading(this.adopter.adoptListedMachines),
        this.refreshCatalog,
      ],
      { concurrency: 'unbounded' },
    ),
  );

  /** Repeats a round of the leader whenever this controller leads; clears the leader's state otherwise. */
  private whileLeading(round: Effect.Effect<void>): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let isLeading = false;
      for (;;) {
        yield* Effect.sleep(isLeading ? LEADER_ROUND_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS);
        isLeading = this.dependencies.actingRevision() !== null && this.dependencies.cache.ready;
        if (isLeading) yield* round;
        else this.clearLeaderState();
      }
    });
  }

  private clearLeaderState(): void {
    this.adoptionQueue.clear();
    this.activeReservations.clear();
  }

  /** Checks more often whether a refresh is due while there is no catalog: no controller is ready then. */
  private readonly refreshCatalog: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const known = this.dependencies.catalog() !== null;
      yield* Effect.sleep(known ? LEADERSHIP_CHECK_INTERVAL_MS : LEADER_ROUND_INTERVAL_MS);
      yield* this.catalogKeeper.refresh;
    }
  });

  private readonly executePlan: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const catalog = this.dependencies.catalog();
    if (!catalog) return;
    const steps = this.plan(catalog, this.dependencies.summaries());
    yield* this.transfers.order(steps.filter((step) => step._tag === 'transfer'));
    for (const step of steps) if (step._tag === 'provision') this.scaleOut.startProvisioning(step);
  });

  private plan(catalog: Catalog, summaries: readonly ShardSummary[]): readonly ScalingStep[] {
    this.transfers.removeCompleted(summaries);
    const previous = this.activeReservations.withCurrentAges();
    const { steps, reservations } = planScaling({
      summaries,
      catalog,
      isRefused: (type, zone, spot) => this.refusals.isRefused(kindKey(type, zone, spot)),
      machineCount: (type, zone, spot) => this.machines.countOfKind(type, zone, spot),
      reservations: previous,
      outdatedShards: this.outdatedShards(summaries),
      pendingTransfers: this.transfers.pending(),
    });
    this.activeReservations.update(previous, reservations, summaries);
    return steps;
  }

  /** Shards whose summaries don't reflect yet all machines that were provisioned or adopted for them. */
  private outdatedShards(summaries: readonly ShardSummary[]): ReadonlySet<number> {
    const outdated = new Set(this.adoptionQueue.shardIds());
    for (const { shardId, revision } of summaries)
      if (!this.recorder.isReflected(shardId, revision)) outdated.add(shardId);
    return outdated;
  }
}
