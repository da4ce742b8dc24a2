import * as Effect from 'effect/Effect';
import {
  CATALOG_MS,
  CLOUD_RETRY_MS,
  RESERVATION_MAX_MS,
  LEADER_IDLE_MS,
  LEADER_TICK_MS,
  LIST_MS,
  MOVE_SHOWN_MS,
  NO_CAPACITY_MAX_MS,
  NO_CAPACITY_MS,
  RECORDS_GONE,
  RELEASE_MAX,
  RENTS_AT_ONCE,
  STORE_RETRY_MS,
  VALUE_FILL,
} from '../constants.js';
import type { Catalog } from '../jobs/model.js';
import { log } from '../log.js';
import type { Item, Store } from '../store/client.js';
import { CATALOG_KEY, claimKey, machineKey } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import { readStored, storeCatalog } from './catalog.js';
import { AdoptionQueue } from './adoption-queue.js';
import type { Cloud, ListedMachine } from './cloud.js';
import { kindKey, MachineIndex } from './machine-index.js';
import { planSteps, type Moving, type Step } from './plan.js';
import {
  writeMachineRecord,
  type Reservation,
  type MachineRecord,
  type Move,
  type Summary,
} from './records.js';

/** What the leader needs of the rest of the controller. */
export interface LeaderInput {
  readonly store: Store;
  readonly cache: WatchCache;
  readonly cloud: Cloud;
  readonly shares: number;
  readonly listLagS: number;
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads records that are parted. */
  readonly maySplit: () => boolean;
  readonly catalog: () => Catalog | null;
  /** The revision of our claim to lead, if we may act on it now. */
  readonly entitled: () => number | null;
  readonly summaries: () => readonly Summary[];
  readonly move: (from: number, moves: readonly Move[]) => Effect.Effect<unknown>;
  readonly now: () => number;
  readonly wall: () => number;
}

/** Rents, releases, adopts and moves: the one place that speaks to the cloud about machines. */
export class Leader {
  private readonly refusedUntil = new Map<string, { until: number; span: number }>();
  private readonly releasedAt = new Map<string, number>();
  private sequence = 0;
  private listedAt = 0;
  private catalogAt = 0;
  /** Summaries older than this revision don't know of machines rented since. */
  private readonly rentedAt = new Map<number, number>();
  private readonly adopting = new AdoptionQueue();
  private readonly machines = new MachineIndex();
  /** What machines are being gathered for; the shares hear of it with the heartbeats. */
  holds: readonly Reservation[] = [];
  private plannedAt = 0;
  /** Moves ordered lately, with the time (ms): until the new share's summary shows them they are neither here nor
   *  there, and what they were gathered for would be given up for another zone. */
  private readonly moving = new Map<string, { readonly move: Moving; readonly at: number }>();
  /** Kinds of machines that are being rented this very moment. */
  private readonly renting = new Set<string>();

  constructor(private readonly input: LeaderInput) {
    input.cache.onEvent((event) => this.machines.onEvent(event));
  }

  /** A worker that no record knows reported somewhere. */
  adopt(id: string, type: string, zone: string, spot: boolean, at = 0): void {
    if (this.input.cache.get(machineKey(id)) !== undefined || this.adopting.has(id)) return;
    const released = this.releasedAt.get(id);
    if (released !== undefined) return;
    this.adopting.add(id, {
      share: this.smallestShare(type, zone, spot),
      type,
      zone,
      spot,
      // By a report its age is not known, and a late copy may speak of a machine long gone: it is not taken for
      // one that boots, and goes back if it is not heard from within a lease.
      at,
      releasing: false,
      addr: '',
      session: 0,
    });
  }

  private smallestShare(type: string, zone: string, spot: boolean): number {
    let best = 0;
    let least = Number.POSITIVE_INFINITY;
    for (let share = 0; share < this.input.shares; share += 1) {
      const weight =
        this.machines.shares.weight(share, type, zone, spot) +
        this.adopting.counts.weight(share, type, zone, spot);
      if (weight >= least) continue;
      least = weight;
      best = share;
    }
    return best;
  }

  /** Repeats what only the leader does, as long as this node leads. */
  private duty(work: (claim: number) => Effect.Effect<void>): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      let leads = false;
      for (;;) {
        yield* Effect.sleep(leads ? LEADER_TICK_MS : LEADER_IDLE_MS);
        const claim = this.input.entitled();
        leads = claim !== null && this.input.cache.ready;
        if (claim !== null && leads) yield* work(claim);
        else this.rest();
      }
    });
  }
  private rest(): void {
    this.adopting.clear();
    this.holds = [];
  }

  /** Side by side: a slow answer of the cloud must not hold up moves, nor a long list the releases. */
  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      [
        this.duty((claim) => Effect.andThen(this.recordAdopted(claim), this.act(claim))),
        this.duty((claim) => this.release(claim)),
        this.duty(() => this.readList()),
        Effect.forever(
          Effect.andThen(
            // Without a catalog no node is ready.
            Effect.suspend(() =>
              Effect.sleep(this.input.catalog() === null ? LEADER_TICK_MS : LEADER_IDLE_MS),
            ),
            this.readCatalog(),
          ),
        ),
      ],
      { concurrency: 'unbounded' },
    ),
  );

  private readCatalog(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = this.input.now();
      const lead = this.input.entitled() !== null;
      // Only the leader refreshes the durable copy; anyone fills it while there is none.
      if (!this.input.cache.ready || (this.input.catalog() !== null && !lead)) return;
      if (
        this.catalogAt !== 0 &&
        now - this.catalogAt < (this.input.catalog() === null ? CLOUD_RETRY_MS : CATALOG_MS)
      )
        return;
      this.catalogAt = now;
      const result = yield* this.input.cloud.catalog;
      if (result._tag === 'failed') {
        log.info({ event: 'catalog.failed', why: result.why });
        return;
      }
      const known = this.input.cache.get(CATALOG_KEY);
      const before = known ? readStored(known, (key) => this.input.cache.get(key)) : null;
      if (before && JSON.stringify(before) === JSON.stringify(result.types)) return;
      const writes = storeCatalog(
        result.types,
        this.input.valueBytes * VALUE_FILL,
        this.input.store.txnOps,
        this.input.maySplit(),
      );
      if (writes === null) {
        log.error({ event: 'catalog.too_long', types: result.types.length });
        return;
      }
      yield* this.input.store.txn([{ key: CATALOG_KEY, version: known?.version ?? 0 }], writes, 'user');
    });
  }

  private recordAdopted(claim: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Each unknown worker asks around once a second until it is recorded, so all that fit go at once; the rate is owed.
      const batch = this.adopting.take(this.input.store.txnOps);
      const fresh = batch.filter(([id]) => this.input.cache.get(machineKey(id)) === undefined);
      if (fresh.length === 0) return;
      const result = yield* this.record(claim, fresh);
      log.info({ event: 'machine.adopted', machines: fresh.map(([id]) => id), result });
    });
  }

  /** Records of new machines, as many as fit in one transaction. */
  private record(
    claim: number,
    machines: readonly (readonly [string, MachineRecord])[],
  ): Effect.Effect<string> {
    return Effect.gen({ self: this }, function* () {
      const result = yield* this.input.store.txn(
        [
          { key: claimKey('L'), version: claim },
          ...machines.map(([id]) => ({ key: machineKey(id), version: 0 })),
        ],
        machines.map(([id, record]) => ({
          _tag: 'put',
          key: machineKey(id),
          value: writeMachineRecord(record),
        })),
        'bind',
      );
      if (result._tag === 'committed')
        for (const [, record] of machines) this.rentedAt.set(record.share, result.revision);
      return result._tag;
    });
  }

  /**
   * Returns machines that their holder asks to be rid of while nothing can be written. Their records go the usual way
   * later, and are released once more then, which changes nothing. Only who surely leads may say that they are gone.
   */
  async returnNow(machines: readonly string[]): Promise<boolean> {
    if (this.input.entitled() === null || machines.length > RELEASE_MAX) return false;
    const released = await Effect.runPromise(this.input.cloud.release(machines));
    log.info({ event: 'machine.returned_at_once', machines, ok: released });
    if (released) for (const id of machines) this.releasedAt.set(id, this.input.now());
    return released;
  }

  private release(claim: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // As many as one call takes: the cloud's rate is the scarcest, and replacements need it too.
      const ids = [...this.machines.releasing].slice(0, RELEASE_MAX);
      if (ids.length === 0) return;
      const wanted = ids.flatMap((id) => this.input.cache.get(machineKey(id)) ?? []);
      const released = yield* this.input.cloud.release(ids);
      log.info({ event: 'machine.released', machines: ids, ok: released });
      if (!released) return;
      for (const id of ids) {
        this.releasedAt.set(id, this.input.now());
        const record = this.machines.get(id);
        // What we gave back may be had again.
        if (record) this.refusedUntil.delete(kindKey(record.type, record.zone, record.spot));
      }
      while (wanted.length > 0)
        yield* this.forget(claim, wanted.splice(0, Math.min(this.input.store.txnOps, RECORDS_GONE)));
    });
  }

  /** Records of machines that are gone; what is not deleted now is released once more, which changes nothing. */
  private forget(claim: number, gone: readonly Item[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (let tries = 0; tries < 5; tries += 1) {
        const result = yield* this.input.store.txn(
          [
            { key: claimKey('L'), version: claim },
            ...gone.map((item) => ({ key: item.key, version: item.version })),
          ],
          gone.map((item) => ({ _tag: 'delete', key: item.key })),
          'bind',
        );
        if (result._tag === 'committed' || result._tag === 'conflict') return;
        yield* Effect.sleep(STORE_RETRY_MS);
      }
    });
  }

  /** Machines that nobody knows are used or returned; those that stopped by themselves are cleared away. */
  private readList(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const now = this.input.now();
      if (now - this.listedAt < LIST_MS) return;
      this.listedAt = now;
      const listed: ListedMachine[] = [];
      let after: string | null = null;
      for (;;) {
        const page: import('./cloud.js').MachinesResult = yield* this.input.cloud.page(after);
        if (page._tag === 'failed') return;
        listed.push(...page.machines);
        const last = page.machines.at(-1);
        if (!page.more || !last) break;
        after = last.id;
      }
      const lagS = this.input.listLagS * 2 + 5;
      for (const [id, at] of this.releasedAt) if (now - at > lagS * 4_000) this.releasedAt.delete(id);
      for (const machine of listed) {
        if (machine.ageS < lagS || this.input.cache.get(machineKey(machine.id))) continue;
        if (this.releasedAt.has(machine.id)) continue;
        this.adopt(
          machine.id,
          machine.type,
          machine.zone,
          machine.spot,
          this.input.wall() - machine.ageS * 1000,
        );
      }
    });
  }

  private act(claim: number): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const catalog = this.input.catalog();
      if (!catalog) return;
      const summaries = this.input.summaries();
      const behind = new Set(
        summaries
          .filter((summary) => summary.revision < (this.rentedAt.get(summary.share) ?? 0))
          .map((summary) => summary.share),
      );
      // Machines rented for these are not recorded yet.
      for (const share of this.adopting.shares()) behind.add(share);
      const now = this.input.now();
      for (const [id, { move, at }] of this.moving) {
        const item = this.input.cache.get(machineKey(id));
        const shown = summaries.find((summary) => summary.share === move.to)?.revision ?? 0;
        const arrived =
          item !== undefined && this.machines.get(id)?.share === move.to && shown >= item.version;
        if (arrived || now - at > MOVE_SHOWN_MS) this.moving.delete(id);
      }
      const before = this.holds.map((hold) => ({ ...hold, ageMs: hold.ageMs + now - this.plannedAt }));
      const { steps, holds: planned } = planSteps({
        summaries,
        catalog,
        refused: (type, zone, spot) => (this.refusedUntil.get(kindKey(type, zone, spot))?.until ?? 0) > now,
        machines: (type, zone, spot) => this.machines.ofKind(type, zone, spot),
        holds: before,
        behind,
        moving: [...this.moving.values()].map(({ move }) => move),
      });
      // A share that is not to be heard for a moment does not lose what was gathered for it.
      const unheard = before.filter(
        (hold) =>
          hold.ageMs < RESERVATION_MAX_MS &&
          !summaries.some((summary) => summary.share === hold.share) &&
          !planned.some((other) => other.zone === hold.zone),
      );
      const holds = [...planned, ...unheard];
      for (const hold of holds) {
        if (!this.holds.some((known) => known.job === hold.job && known.zone === hold.zone))
          log.info({ event: 'hold.begun', ...hold });
      }
      this.holds = holds;
      this.plannedAt = now;
      const moves = new Map<number, Move[]>();
      for (const step of steps) {
        if (step._tag !== 'move') continue;
        const list = moves.get(step.from) ?? [];
        moves.set(step.from, list);
        list.push({ machine: step.machine, to: step.to });
        const record = this.machines.get(step.machine);
        if (record) {
          const { type, zone, spot } = record;
          this.moving.set(step.machine, {
            move: { machine: step.machine, to: step.to, type, zone, spot },
            at: now,
          });
        }
      }
      if (this.input.entitled() === claim) {
        yield* Effect.forEach(moves, ([from, list]) => this.input.move(from, list), {
          concurrency: 'unbounded',
          discard: true,
        });
      }
      for (const step of steps) {
        if (step._tag !== 'rent') continue;
        const key = kindKey(step.type, step.zone, step.spot);
        // What is asked for already shows in the next summaries.
        if (this.renting.has(key) || this.renting.size >= RENTS_AT_ONCE) continue;
        this.renting.add(key);
        Effect.runFork(
          Effect.ensuring(
            this.rent(claim, step),
            Effect.sync(() => this.renting.delete(key)),
          ),
        );
      }
    });
  }

  private refuse(key: string): void {
    const before = this.refusedUntil.get(key);
    const span = Math.min(NO_CAPACITY_MAX_MS, before ? before.span * 2 : NO_CAPACITY_MS);
    this.refusedUntil.set(key, { until: this.input.now() + span, span });
  }

  private rent(claim: number, step: Step & { readonly _tag: 'rent' }): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      if (this.input.entitled() !== claim) return;
      const key = kindKey(step.type, step.zone, step.spot);
      this.sequence += 1;
      // The claim's revision is durable and belongs to this process alone: such a name is never used twice.
      const name = `r-${claim}-${this.sequence}`;
      const { type, zone, spot, count } = step;
      const result = yield* this.input.cloud.rent({ name, type, zone, spot, count });
      log.info({
        event: 'machine.rent',
        name,
        type,
        zone,
        spot,
        count,
        shares: step.shares.join(),
        result: result._tag,
        got: result._tag === 'rented' ? result.machines : undefined,
      });
      switch (result._tag) {
        case 'rented': {
          if (result.machines.length < count) this.refuse(key);
          else this.refusedUntil.delete(key);
          const at = this.input.wall();
          const made = result.machines.map((id, index): readonly [string, MachineRecord] => [
            id,
            { share: step.shares[index] ?? 0, type, zone, spot, at, releasing: false, addr: '', session: 0 },
          ]);
          while (made.length > 0) {
            const batch = made.splice(0, this.input.store.batchOps);
            const written = yield* this.record(claim, batch);
            // Without an answer they may be recorded yet; if they are, they are known before the next try.
            if (written !== 'committed') for (const [id, record] of batch) this.adopting.add(id, record);
          }
          return;
        }
        case 'noCapacity':
          this.refuse(key);
          return;
        case 'refused':
        case 'unknown':
          this.refusedUntil.set(key, { until: this.input.now() + CLOUD_RETRY_MS, span: NO_CAPACITY_MS / 2 });
          return;
      }
    });
  }
}
