/**
 * The leader: plans for all shards, provisions, releases and adopts machines, and orders their transfer.
 * Every controller has one; it acts only while this controller holds the leader claim. Each part owns its
 * state: the leader itself has none but the loop.
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

/** What the leader needs of the rest of the controller. */
export interface LeaderDependencies extends FleetDependencies {
  readonly duties: Pick<DutyRegistry, 'leader'>;
  /** Announces provisioning requests durably before they are sent; null: they are sent at once. */
  readonly journal: ProvisioningJournal | null;
  readonly shardCount: number;
  /** How late the cloud's machine list may be, in s. */
  readonly listLagS: number;
  /** The largest value that the key-value store takes, now and later, in bytes. */
  readonly valueBytes: number;
  /** Does every controller read a catalog that is stored in parts? */
  readonly maySplit: () => boolean;
  /** Null: not known yet. */
  readonly catalog: () => Catalog | null;
  /** Revision of this controller's leader claim; null: it must not act as the leader now. */
  readonly actingRevision: () => number | null;
  readonly summaries: () => readonly ShardSummary[];
  readonly orderTransfers: SendTransferOrder;
}

/** Composes the parts, and runs their rounds while this controller leads. */
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

  constructor(private readonly input: LeaderDependencies) {
    const { cache, duties, now } = input;
    const { adoptionQueue, machines } = this;
    const refusals = (this.refusals = new CapacityRefusals(now));
    const recorder = (this.recorder = new MachineRecorder(input.store));
    this.activeReservations = new ActiveReservations(now);
    this.transfers = new TransferOrders({
      cache,
      now,
      duty: duties.leaderDuty('move'),
      machines,
      send: input.orderTransfers,
    });
    this.scaleOut = new ScaleOut({
      ...input,
      duty: duties.leaderDuty('rent'),
      recorder,
      adoptionQueue,
      refusals,
    });
    this.scaleIn = new ScaleIn({ ...input, duty: duties.leaderDuty('release'), machines, refusals });
    this.adopter = new Adopter({
      ...input,
      duty: duties.leaderDuty('adopt'),
      queue: adoptionQueue,
      machines,
      recorder,
      scaleIn: this.scaleIn,
    });
    this.catalogKeeper = new CatalogKeeper({ ...input, duty: duties.leaderDuty('catalog') });
    cache.onEvent((event) => machines.onEvent(event));
  }

  /** The reservations in force; empty unless this controller leads. */
  get reservations(): readonly Reservation[] {
    return this.activeReservations.list;
  }

  /** A worker reported whose machine has no record. */
  adopt(id: string, type: string, zone: string, spot: boolean): void {
    this.adopter.adopt(id, { type, zone, spot });
  }

  /** Releases machines while nothing can be written; true: they are gone. */
  releaseNow(machines: readonly string[]): Promise<boolean> {
    return this.scaleIn.releaseNow(machines);
  }

  /** Machines whose records ask for their release. */
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
   * All rounds, at once: a slow answer of the cloud must not delay transfers, nor a long list the releases.
   */
  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      [
        this.whileLeading(Effect.andThen(this.adopter.recordQueuedMachines, this.carryOutPlan)),
        this.whileLeading(this.scaleOut.settle),
        this.whileLeading(this.scaleIn.releaseRequestedMachines),
        this.whileLeading(this.adopter.adoptListedMachines),
        this.refreshCatalog,
      ],
      { concurrency: 'unbounded' },
    ),
  );

  /** Repeats what only the leader does, as long as this controller leads. */
  private whileLeading(work: Effect.Effect<void>): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let leads = false;
      for (;;) {
        yield* Effect.sleep(leads ? LEADER_ROUND_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS);
        leads = this.input.actingRevision() !== null && this.input.cache.ready;
        if (leads) yield* work;
        else this.forgetLeadership();
      }
    });
  }

  private forgetLeadership(): void {
    this.adoptionQueue.clear();
    this.activeReservations.clear();
  }

  /** Without a catalog no controller is ready, so its refresh is considered more often then. */
  private readonly refreshCatalog: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const known = this.input.catalog() !== null;
      yield* Effect.sleep(known ? LEADERSHIP_CHECK_INTERVAL_MS : LEADER_ROUND_INTERVAL_MS);
      yield* this.catalogKeeper.refresh;
    }
  });

  private readonly carryOutPlan: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const catalog = this.input.catalog();
    if (!catalog) return;
    const steps = this.plan(catalog, this.input.summaries());
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

  /** Shards whose summaries don't show yet all machines that were provisioned or adopted for them. */
  private outdatedShards(summaries: readonly ShardSummary[]): ReadonlySet<number> {
    const outdated = new Set(this.adoptionQueue.shardIds());
    for (const { shardId, revision } of summaries)
      if (!this.recorder.isReflected(shardId, revision)) outdated.add(shardId);
    return outdated;
  }
}
