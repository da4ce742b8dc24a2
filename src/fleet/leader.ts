import { type Permit, type ProvisioningJournal } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import {
  LEADERSHIP_CHECK_INTERVAL_MS,
  LEADER_ROUND_INTERVAL_MS,
  MOVE_CONFIRMATION_TIMEOUT_MS,
} from '../constants/fleet.js';
import { MAX_RESERVATION_AGE_MS } from '../constants/reservations.js';
import type { ReleaseIntent } from '../duties/duties-report.js';
import type { DutyRegistry } from '../duties/duty-registry.js';
import type { Catalog } from '../jobs/model.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { machineKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import { Adopter } from './adopter.js';
import { AdoptionQueue } from './adoption-queue.js';
import { CapacityRefusals } from './capacity-refusals.js';
import { CatalogKeeper } from './catalog-keeper.js';
import type { Cloud } from './cloud.js';
import { kindKey, MachineIndex } from './machine-index.js';
import { MachineRecorder } from './machine-recorder.js';
import { planSteps, type PendingTransfer, type Step } from './scaling-plan.js';
import type { MachineTransfer, Reservation, ShardSummary } from './records.js';
import { ScaleOut } from './scale-out.js';
import { ScaleIn } from './scale-in.js';

/** What the leader needs of the rest of the controller. */
export interface LeaderInput {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly cloud: Cloud;
  readonly duties: Pick<DutyRegistry, 'leader'>;
  /** Announces rental requests durably before they are sent; null: they are sent at once. */
  readonly journal: ProvisioningJournal | null;
  readonly shardCount: number;
  readonly listLagS: number;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads records that are parted. */
  readonly maySplit: () => boolean;
  readonly catalog: () => Catalog | null;
  /** The revision of our claim to lead, if we may act on it now. */
  readonly actingRevision: () => number | null;
  readonly summaries: () => readonly ShardSummary[];
  readonly move: (from: number, moves: readonly MachineTransfer[], permit: Permit) => Effect.Effect<unknown>;
  readonly now: () => number;
  /** ms since the epoch. */
  readonly wall: () => number;
}

/**
 * Plans for all shares: rents, returns and adopts through its parts, orders moves, gathers machines for large
 * gangs.
 */
export class Leader {
  private readonly adopting = new AdoptionQueue();
  private readonly machines = new MachineIndex();
  private readonly refusals: CapacityRefusals;
  private readonly recorder: MachineRecorder;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly adopter: Adopter;
  private readonly catalogKeeper: CatalogKeeper;
  /** What machines are being gathered for; the shares hear of it with the heartbeats. */
  reservations: readonly Reservation[] = [];
  private plannedAt = 0;
  /**
   * Moves ordered lately, with the time (ms): until the new share's summary shows them they are neither here
   * nor there, and what they were gathered for would be given up for another zone.
   */
  private readonly moving = new Map<string, { readonly move: PendingTransfer; readonly at: number }>();

  constructor(private readonly input: LeaderInput) {
    const { store, cache, cloud, duties, journal, now, wall } = input;
    const { adopting, machines } = this;
    this.refusals = new CapacityRefusals(now);
    this.recorder = new MachineRecorder(store);
    const { refusals, recorder } = this;
    const provision = duties.leader('rent');
    this.scaleOut = new ScaleOut({
      store,
      cloud,
      duty: provision,
      journal,
      recorder,
      adopting,
      refusals,
      wall,
    });
    const release = duties.leader('release');
    this.scaleIn = new ScaleIn({ store, cache, cloud, duty: release, machines, refusals, now });
    this.adopter = new Adopter({
      store,
      cache,
      cloud,
      duty: duties.leader('adopt'),
      queue: adopting,
      machines,
      recorder,
      scaleIn: this.scaleIn,
      shardCount: input.shardCount,
      listLagS: input.listLagS,
      now,
      wall,
    });
    this.catalogKeeper = new CatalogKeeper({
      store,
      cache,
      cloud,
      duty: duties.leader('catalog'),
      valueBytes: input.valueBytes,
      maySplit: input.maySplit,
      catalog: input.catalog,
      now,
    });
    cache.onEvent((event) => machines.onEvent(event));
  }

  /** A worker that no record knows reported somewhere. */
  adopt(id: string, type: string, zone: string, spot: boolean): void {
    this.adopter.adopt(id, type, zone, spot);
  }

  /** Returns machines while nothing can be written; true: they are gone. */
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

  /** Repeats what only the leader does, as long as this node leads. */
  private whileLeading(work: Effect.Effect<void>): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let leads = false;
      for (;;) {
        yield* Effect.sleep(leads ? LEADER_ROUND_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS);
        leads = this.input.actingRevision() !== null && this.input.cache.ready;
        if (leads) yield* work;
        else this.rest();
      }
    });
  }
  private rest(): void {
    this.adopting.clear();
    this.reservations = [];
  }

  /** Without a catalog no node is ready, so it is looked for more often then. */
  private readonly refreshCatalog: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      yield* Effect.sleep(
        this.input.catalog() === null ? LEADER_ROUND_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS,
      );
      yield* this.catalogKeeper.refresh;
    }
  });

  /** Side by side: a slow answer of the cloud must not hold up moves, nor a long list the releases. */
  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      [
        this.whileLeading(Effect.andThen(this.adopter.record, this.act)),
        this.whileLeading(this.scaleOut.settle),
        this.whileLeading(this.scaleIn.releaseRequested),
        this.whileLeading(this.adopter.readList),
        this.refreshCatalog,
      ],
      { concurrency: 'unbounded' },
    ),
  );

  private readonly act: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const catalog = this.input.catalog();
    if (!catalog) return;
    const summaries = this.input.summaries();
    this.forgetArrived(summaries);
    const steps = this.plan(catalog, summaries);
    yield* this.orderTransfers(steps.filter((step) => step._tag === 'move'));
    for (const step of steps) if (step._tag === 'rent') this.scaleOut.begin(step);
  });

  /** Shares whose summaries don't show yet what was rented or found for them. */
  private shardsBehind(summaries: readonly ShardSummary[]): ReadonlySet<number> {
    const behind = new Set(this.adopting.shardIds());
    for (const { shardId, revision } of summaries)
      if (!this.recorder.knows(shardId, revision)) behind.add(shardId);
    return behind;
  }

  private forgetArrived(summaries: readonly ShardSummary[]): void {
    const now = this.input.now();
    for (const [id, { move, at }] of this.moving) {
      const item = this.input.cache.get(machineKey(id));
      const shown = summaries.find((summary) => summary.shardId === move.to)?.revision ?? 0;
      const arrived =
        item !== undefined && this.machines.get(id)?.shardId === move.to && shown >= item.version;
      if (arrived || now - at > MOVE_CONFIRMATION_TIMEOUT_MS) this.moving.delete(id);
    }
  }

  private plan(catalog: Catalog, summaries: readonly ShardSummary[]): readonly Step[] {
    const now = this.input.now();
    const before = this.reservations.map((reservation) => ({
      ...reservation,
      ageMs: reservation.ageMs + now - this.plannedAt,
    }));
    const { steps, reservations: planned } = planSteps({
      summaries,
      catalog,
      refused: (type, zone, spot) => this.refusals.isRefused(kindKey(type, zone, spot)),
      machines: (type, zone, spot) => this.machines.ofKind(type, zone, spot),
      reservations: before,
      behind: this.shardsBehind(summaries),
      moving: [...this.moving.values()].map(({ move }) => move),
    });
    // A share that is not to be heard for a moment does not lose what was gathered for it.
    const withoutSummary = before.filter(
      (hold) =>
        hold.ageMs < MAX_RESERVATION_AGE_MS &&
        !summaries.some((summary) => summary.shardId === hold.shardId) &&
        !planned.some((other) => other.zone === hold.zone),
    );
    this.reserve([...planned, ...withoutSummary]);
    return steps;
  }

  private reserve(reservations: readonly Reservation[]): void {
    for (const reservation of reservations) {
      if (
        !this.reservations.some((known) => known.job === reservation.job && known.zone === reservation.zone)
      )
        log.info({ event: 'hold.begun', ...reservation });
    }
    this.reservations = reservations;
    this.plannedAt = this.input.now();
  }

  private orderTransfers(steps: readonly (Step & { readonly _tag: 'move' })[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (steps.length === 0) return;
      const now = this.input.now();
      const bySource = new Map<number, MachineTransfer[]>();
      for (const { from, machine, to } of steps) {
        const list = bySource.get(from) ?? [];
        bySource.set(from, list);
        list.push({ machine, to });
        const record = this.machines.get(machine);
        if (!record) continue;
        const { type, zone, spot } = record;
        this.moving.set(machine, { move: { machine, to, type, zone, spot }, at: now });
      }
      const permit = this.input.duties.leader('move').begin('order to the holder of a share');
      if (permit === null) return;
      yield* Effect.forEach(bySource, ([from, list]) => this.input.move(from, list, permit), {
        concurrency: 'unbounded',
        discard: true,
      });
      permit.end();
    });
  }
}
