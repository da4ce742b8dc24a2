import * as Effect from 'effect/Effect';
import {
  TASK_COUNTS_MAX,
  PREEMPT_AFTER_MS,
  PREEMPT_REQUESTS_MAX,
  PREEMPT_INTERVAL_MS,
  FLUSH_AGE_MS,
  FLUSH_AT_ONCE,
  FLUSH_MS,
  PLACE_TICK_MS,
  PLAN_MS,
  RETURN_ASK_MS,
  ROUND_GAP_MS,
  ROUND_SHARE,
  STORE_RETRY_MS,
  WATCH_MACHINES_MS,
} from '../constants.js';
import { readMachineRecord, type Reservation, type Move, type Summary } from '../fleet/records.js';
import { readJobRecord } from '../jobs/codec.js';
import type { Catalog, FinalRecord, FinalState, JobSpec } from '../jobs/model.js';
import { log } from '../log.js';
import type { Item, Store } from '../store/client.js';
import { jobKey, parseRunKey, runKey, runPartKey, runsPrefix } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import type { DirectResult } from '../workers/worker-client.js';
import type { Command, Report } from '../workers/model.js';
import type { Readiness, Standing } from '../pipelines/graph.js';
import { placementRequests, availableCapacity, teamUsage, type ViewInput } from './placement-view.js';
import { ShareState } from './share-state.js';
import { MachineLiveness } from './machine-liveness.js';
import { WorkerSessions } from './worker-sessions.js';
import { chooseVictims, type OccupiedMachine } from './preemption.js';
import { unmetDemand, spareMachines, type UnplacedRequest } from './unmet-demand.js';
import { packAll, type Limit, type Assignment, type AvailableCapacity, type Usage } from './pack.js';
import { chunkOf, counts, durableKeys, partsOf, readRunRecord, validAttempt } from './records.js';
import { bindingKey, isFinished, type Binding, type ShareJob, type ShareMachine } from './state.js';
import { onMachine } from './task.js';
import type { Objectives } from './urgency.js';
import { Writer, type RunWrite } from './writer.js';

export interface ShareInput {
  readonly store: Store;
  readonly cache: WatchCache;
  readonly catalog: () => Catalog | null;
  /** Some job of any share that may not use spot machines fits no other type. */
  readonly scarce: (type: string) => boolean;
  readonly shareOfTeam: ReadonlyMap<string, number>;
  readonly limits: ReadonlyMap<string, Limit>;
  readonly guarantees: ReadonlyMap<string, Usage>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  readonly workers: { readonly lease_s: number; readonly report_s: number; readonly cancel_s: number };
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads runs that are parted. */
  readonly maySplit: () => boolean;
  /** Part of a core that this process may use. */
  readonly coreShare: number;
  /** May this node act for the share now, under this very claim? */
  readonly entitled: () => boolean;
  /** Has another share a free machine that would do for this job? */
  readonly spareElsewhere: (slot: number, spec: JobSpec) => boolean;
  /** What the leader gathers machines for. */
  readonly holds: () => readonly Reservation[];
  readonly now: () => number;
  /** ms since the epoch; only for ages of jobs and machines, never for leases. */
  readonly wall: () => number;
  readonly direct: (
    addr: string,
    token: number,
    session: number,
    commands: readonly Command[],
  ) => Promise<DirectResult>;
  /** A job's final record is durable. */
  readonly settled: (job: string, final: FinalRecord) => void;
  readonly readiness: (job: string) => Readiness;
  readonly standing: (job: string) => Standing | null;
  /** Returns machines to the cloud at once, without a record of it; true: they are gone. */
  readonly returnNow: (machines: readonly string[]) => Promise<boolean>;
  /** Something changed that the leader or a worker waits for. */
  readonly changed: () => void;
}

/** ms of rest that a round of this length earns: its node has a part of a core, and rounds a part of that. */
export const restMs = (roundMs: number, coreShare: number): number =>
  Math.max(ROUND_GAP_MS, roundMs * (1 / (Math.min(1, coreShare) * ROUND_SHARE) - 1));

/** Why nothing is placed yet: reading the state, or waiting for the machines to report. */
type Stage = 'loading' | 'rebuilding' | 'placing' | 'lost';

/** One share of teams and machines, for as long as this process holds its claim. */
export class Share {
  stage: Stage = 'loading';
  summary: Summary | null = null;
  private readonly shareState: ShareState;
  private readonly liveness: MachineLiveness;
  private readonly sessions: WorkerSessions;
  private readonly writer: Writer;
  private readonly orphans: string[] = [];
  private flushing = false;
  private flushedAt = 0;
  private watchedAt = 0;
  private plannedAt = 0;
  private lastSaid = '';
  private evictedAt = 0;
  private returnAskedAt = Number.NEGATIVE_INFINITY;
  private wake: (() => void) | null = null;
  private poked = false;
  private restUntil = 0;

  constructor(
    readonly slot: number,
    readonly claim: number,
    private readonly input: ShareInput,
  ) {
    const poke = (): void => this.poke();
    this.shareState = new ShareState({ now: input.now, wall: input.wall, poke });
    this.liveness = new MachineLiveness({
      machines: this.shareState.machines,
      catalog: input.catalog,
      workers: input.workers,
      now: input.now,
      wall: input.wall,
    });
    this.sessions = new WorkerSessions({
      shareState: this.shareState,
      claim,
      now: input.now,
      leaseMs: this.liveness.leaseMs,
      loaded: () => this.stage !== 'loading',
      isCancelled: (id) => this.isCancelled(id),
      placing: () => this.stage === 'placing',
      lost: () => this.stage === 'lost',
      poke,
      direct: input.direct,
    });
    this.writer = new Writer({
      store: input.store,
      slot,
      claim,
      wall: input.wall,
      valueBytes: input.valueBytes,
      maySplit: input.maySplit,
      lost: () => this.lose(),
      isLost: () => this.stage === 'lost',
    });
    for (const item of input.cache.under('w/m/')) this.onMachineRecord(item);
  }

  // ---- what the shared keys say -------------------------------------------------------------------------

  onMachineRecord(item: Item): void {
    const id = item.key.slice('w/m/'.length);
    const record = readMachineRecord(item.value);
    const known = this.shareState.machines.get(id);
    if (record.share !== this.slot) {
      // Its former holder moves only free ones, so nothing of ours is on it.
      if (known) this.shareState.dropMachine(known, { _tag: 'released' });
      return;
    }
    if (known) {
      if (known.version !== item.version) {
        known.version = item.version;
        known.confirmedToken = 0;
      }
      known.releasing = record.releasing;
      return;
    }
    const total = this.input.catalog()?.get(record.type) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    const machine = this.shareState.addMachine(id, record, item.version, total);
    if (record.addr !== '' && this.input.entitled()) this.sessions.greet(machine, record.session);
    this.poke();
  }

  onMachineGone(id: string): void {
    const machine = this.shareState.machines.get(id);
    // The record goes only after the cloud answered 200 to the machine's release.
    if (machine) this.shareState.dropMachine(machine, { _tag: 'released' });
  }

  onJobRecord(item: Item): void {
    const record = readJobRecord(item.value);
    if (this.input.shareOfTeam.get(record.spec.team) !== this.slot || this.stage === 'loading') return;
    this.shareState.adoptJob(record, item.version);
    this.onStanding(record.spec.id);
    this.poke();
  }

  /** The readiness or standing of a job may have changed. */
  onStanding(id: string): void {
    const job = this.shareState.jobs.get(id);
    const standing = this.input.standing(id);
    if (job && standing) this.shareState.stand(id, this.input.readiness(id), standing);
  }

  /** Another node is about to tell a user of this cancellation. True: from now on every answer to a worker says so. */
  acknowledge(id: string, version: number): boolean {
    if (this.stage === 'lost') return false;
    this.shareState.acknowledge(id, version);
    this.poke();
    return true;
  }

  /** Is the job cancelled, as far as the shared keys and what other nodes said go? */
  private isCancelled(id: string): boolean {
    const item = this.input.cache.get(jobKey(id));
    return (
      this.shareState.acknowledged.has(id) || (item !== undefined && readJobRecord(item.value).cancelled)
    );
  }

  onJobGone(id: string): void {
    this.shareState.acknowledged.delete(id);
    const job = this.shareState.jobs.get(id);
    if (job && !job.finishing) log.error({ event: 'job.record_vanished', job: id });
  }

  // ---- takeover ------------------------------------------------------------------------------------------

  /** Reads the share's runs. The cache already shows every change before the claim's own revision. */
  private readonly load: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const all = yield* this.input.store.list(runsPrefix(this.slot), 'user');
      if (all._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_MS);
        continue;
      }
      this.stage = 'rebuilding';
      this.liveness.loadedAt = this.input.now();
      for (const item of this.input.cache.under('w/j/')) {
        const record = readJobRecord(item.value);
        if (this.input.shareOfTeam.get(record.spec.team) === this.slot)
          this.shareState.adoptJob(record, item.version);
        this.onStanding(record.spec.id);
      }
      const parts = new Map(all.items.map((item) => [item.key, item]));
      for (const item of all.items) this.loadRun(item, parts);
      for (const machine of this.shareState.machines.values()) {
        machine.free = null;
        for (const task of machine.reported) {
          const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
          if (binding) this.shareState.apply(binding, { _tag: 'reported', state: task.state });
        }
      }
      log.info({
        event: 'share.loaded',
        share: this.slot,
        claim: this.claim,
        jobs: this.shareState.jobs.size,
        machines: this.shareState.machines.size,
      });
      return;
    }
  });

  private loadRun(item: Item, items: ReadonlyMap<string, Item>): void {
    const name = parseRunKey(item.key);
    const job = name ? this.shareState.jobs.get(name.job) : undefined;
    if (!name || !job) {
      this.orphans.push(item.key);
      return;
    }
    // Parts are read with the record that they belong to; one that it doesn't name is left over.
    if (name.part !== null) {
      const whole = items.get(runKey(this.slot, name.job, name.chunk));
      if (!whole || name.part >= partsOf(whole.value)) this.orphans.push(item.key);
      return;
    }
    const count = partsOf(item.value);
    const parts = Array.from(
      { length: count },
      (_, part) => items.get(runPartKey(this.slot, name.job, name.chunk, part))?.value ?? { b: [] },
    );
    const record = readRunRecord(item.value, name.chunk, parts);
    job.attempt = Math.max(job.attempt, record.attempt);
    for (const index of record.done) job.done.add(index);
    const first = items.get(runKey(this.slot, name.job, 0))?.value;
    if (name.chunk === 0) job.validAttempt = validAttempt(first);
    // Prepared for a bind that never was: it counts for nothing, and is cleared.
    const valid = counts(item.value, first);
    const chunk = {
      version: item.version,
      parts: count,
      durable: valid ? durableKeys(job.spec.id, record) : new Set<string>(),
      dirtyFrom: null as number | null,
    };
    job.chunks.set(name.chunk, chunk);
    if (!valid) chunk.dirtyFrom = 0;
    for (const bound of valid ? record.bindings : []) {
      const machine = this.shareState.machines.get(bound.machine);
      // No record of the machine: it was released, and that was answered 200.
      if (!machine) {
        chunk.dirtyFrom = 0;
        continue;
      }
      const binding = this.shareState.bind(job, bound.index, bound.attempt, machine, { _tag: 'bound' });
      if (job.cancelled) this.shareState.stop(binding, 'cancelled', 0);
    }
    if (job.spec.kind === 'gang' && job.bindings.size > 0 && job.bindings.size < job.spec.tasks)
      this.shareState.breakGang(job);
  }

  // ---- workers ---------------------------------------------------------------------------------------------

  onReport(report: Report): { readonly hurry: boolean } | null {
    return this.sessions.onReport(report);
  }
  orders(report: Report): { readonly token: number; readonly commands: readonly Command[] } | null {
    return this.sessions.orders(report);
  }
  /** Machines that should report, and those heard lately: all of none means that nobody reaches this node. */
  hearing(): { readonly machines: number; readonly heard: number } {
    return this.liveness.hearing(this.liveness.deafMs);
  }

  // ---- rounds ----------------------------------------------------------------------------------------------

  poke(): void {
    this.poked = true;
    this.wake?.();
  }

  private pause(): Effect.Effect<void> {
    return Effect.promise(
      () =>
        new Promise<void>((resolve) => {
          // A moment for events that come together, and the rest that the last round earned.
          const soon = (): void => {
            setTimeout(resolve, Math.max(1, this.restUntil - this.input.now()));
          };
          if (this.poked) return soon();
          const timer = setTimeout(resolve, PLACE_TICK_MS);
          this.wake = () => {
            clearTimeout(timer);
            this.wake = null;
            soon();
          };
        }),
    );
  }

  private readonly waiters = new Set<() => void>();

  /** Resolves when the binds of a whole round that begins after now are durable, or after `ms`. */
  nextRound(id: string, ms: number): Promise<void> {
    this.poke();
    const machine = this.shareState.machines.get(id);
    if (machine) machine.answering += 1;
    return new Promise<void>((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.waiters.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.waiters.add(end);
    }).then(() => {
      if (machine) machine.answering -= 1;
    });
  }

  readonly run: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (this.stage === 'loading') yield* this.load;
    for (;;) {
      yield* this.pause();
      this.poked = false;
      if (this.stage === 'lost') return;
      if (!this.input.entitled()) continue;
      const begun = this.input.now();
      this.round();
      const end = this.input.now();
      this.restUntil = end + restMs(end - begun, this.input.coreShare);
    }
  });

  /** One round: decisions only. What they write goes out beside the rounds, in transactions of its own. */
  private round(): void {
    const waiting = [...this.waiters];
    this.sessions.sendStops();
    this.watchMachines();
    this.finishJobs();
    if (this.stage === 'rebuilding' && this.liveness.rebuilt()) {
      this.stage = 'placing';
      log.info({ event: 'share.placing', share: this.slot });
    }
    const catalog = this.input.catalog();
    const placed = this.stage === 'placing' && catalog ? this.place(catalog) : Promise.resolve();
    void placed.then(() => {
      for (const end of waiting) end();
    });
    this.flush();
  }

  // ---- machines ----------------------------------------------------------------------------------------------

  private watchMachines(): void {
    const now = this.input.now();
    if (now - this.watchedAt < WATCH_MACHINES_MS) return;
    this.watchedAt = now;
    for (const machine of this.liveness.watch()) {
      log.info({ event: 'machine.lease_over', machine: machine.id, tasks: machine.bound.size });
      for (const binding of [...machine.bound.values()])
        this.shareState.apply(binding, { _tag: 'lost', how: { _tag: 'leaseOver' } });
    }
    const overdue = this.liveness.overdue(this.shareState.jobs.values());
    this.returnNow(overdue.map((machine) => machine.id));
    const release = [
      ...overdue
        .filter((machine) => !machine.releasing)
        .map((machine) => ({ machine, why: 'cancelled and not gone' })),
      ...this.liveness
        .toRelease(this.stage === 'placing')
        .filter(({ machine }) => !overdue.includes(machine)),
    ];
    const raise = [...this.shareState.machines.values()].filter(
      (machine) => machine.raiseToken && !machine.releasing,
    );
    for (const machine of raise) machine.raiseToken = false;
    const records = [
      ...raise.map((machine) => ({ machine, share: this.slot, releasing: false })),
      ...release
        .filter(({ machine }) => !raise.includes(machine))
        .map(({ machine, why }) => {
          log.info({ event: 'machine.release_wanted', machine: machine.id, why });
          return { machine, share: this.slot, releasing: true };
        }),
    ];
    while (records.length > 0)
      void this.writer.assign(
        records.splice(0, this.input.store.batchOps),
        raise.length > 0 ? 'bind' : 'work',
      );
  }

  /** While the state service can't be written, the leader is asked directly; twice is no harm, nor is too early. */
  private returnNow(machines: readonly string[]): void {
    const now = this.input.now();
    if (machines.length === 0 || now - this.returnAskedAt < RETURN_ASK_MS) return;
    this.returnAskedAt = now;
    void this.input.returnNow(machines).then((returned) => {
      if (this.stage === 'lost' || !returned) return;
      for (const id of machines) {
        const machine = this.shareState.machines.get(id);
        if (machine) machine.cordoned = true;
        for (const binding of [...(machine?.bound.values() ?? [])])
          this.shareState.apply(binding, { _tag: 'lost', how: { _tag: 'released' } });
      }
    });
  }

  /** Free for another share: nothing on it but exits that are settled, which any holder may have forgotten. */
  private movable(machine: ShareMachine): boolean {
    return (
      !machine.releasing &&
      !machine.raiseToken &&
      this.liveness.idle(machine) &&
      machine.unsureRuns.size === 0 &&
      machine.noticeAt === null &&
      machine.health._tag === 'fine' &&
      machine.reported.every((task) =>
        this.sessions.settled(bindingKey(task.job, task.index, task.attempt), task.job, task.index),
      )
    );
  }

  /** Moves free machines to other shares. Their new assignment raises the token beyond all that we sent. */
  async give(moves: readonly Move[]): Promise<boolean> {
    if (this.stage !== 'placing') return false;
    const records = moves.flatMap(({ machine: id, to }) => {
      const machine = this.shareState.machines.get(id);
      return machine && this.movable(machine) ? [{ machine, share: to, releasing: false }] : [];
    });
    if (records.length === 0) return false;
    log.info({
      event: 'machine.move',
      from: this.slot,
      moves: records.map(({ machine, share }) => `${machine.id}>${share}`),
    });
    const batches: Promise<boolean>[] = [];
    while (records.length > 0)
      batches.push(this.writer.assign(records.splice(0, this.input.store.batchOps), 'bind'));
    return (await Promise.all(batches)).some(Boolean);
  }

  // ---- durable changes ---------------------------------------------------------------------------------------

  lose(): void {
    if (this.stage === 'lost') return;
    this.stage = 'lost';
    log.info({ event: 'share.lost', share: this.slot, claim: this.claim });
    this.poke();
  }

  /** Finished tasks, and bindings that are gone. Jobs that are all done go straight to their final record. */
  private flush(): void {
    const now = this.input.now();
    if (this.flushing || now - this.flushedAt < FLUSH_MS || this.stage === 'lost') return;
    const { changes } = this.input.store;
    const ageMs = changes.demand() < changes.perSecond * FLUSH_AT_ONCE ? 0 : FLUSH_AGE_MS;
    const entries: { write: RunWrite }[] = [];
    for (const job of this.shareState.jobs.values()) {
      if (job.finishing || job.writing > 0) continue;
      if (job.bindings.size === 0 && (job.cancelled || isFinished(job))) continue;
      for (const [number, chunk] of job.chunks) {
        if (chunk.dirtyFrom !== null && now - chunk.dirtyFrom >= ageMs)
          entries.push({ write: this.writer.runWrite(job, number) });
      }
    }
    if (entries.length === 0 && this.orphans.length === 0) return;
    this.flushing = true;
    this.flushedAt = now;
    const work = async (): Promise<void> => {
      // One at a time: what changes meanwhile shares the next.
      for (const batch of this.writer.batches(entries).slice(0, 1))
        await this.writer.commitRuns(
          batch.map((entry) => entry.write),
          'work',
        );
      if (this.orphans.length > 0) {
        const keys = this.orphans.splice(0, this.input.store.batchOps);
        if (!(await this.writer.clear(keys))) this.orphans.push(...keys);
      }
    };
    void work().finally(() => {
      this.flushing = false;
      this.poke();
    });
  }

  private finishJobs(): void {
    let batch: { job: ShareJob; state: FinalState }[] = [];
    let size = 0;
    const send = (): void => {
      const sent = batch;
      batch = [];
      size = 0;
      if (sent.length === 0) return;
      void this.writer.finish(sent).then(({ done, orphans }) => {
        for (const { job, final } of done) {
          this.shareState.jobs.delete(job.spec.id);
          this.input.settled(job.spec.id, final);
        }
        this.orphans.push(...orphans);
        this.poke();
      });
    };
    for (const job of this.shareState.jobs.values()) {
      if (job.finishing || job.writing > 0 || job.bindings.size > 0) continue;
      if (!job.cancelled && !isFinished(job)) continue;
      const more = this.writer.finalSize(job);
      if (job.finishAlone || size + more > this.input.store.batchOps) send();
      batch.push({ job, state: job.cancelled ? 'cancelled' : 'done' });
      size += more;
      if (job.finishAlone) send();
    }
    send();
  }

  // ---- placement -----------------------------------------------------------------------------------------------

  private view(catalog: Catalog): ViewInput {
    return {
      shareState: this.shareState,
      liveness: this.liveness,
      catalog,
      scarce: this.input.scarce,
      guarantees: this.input.guarantees,
      objectives: this.input.objectives,
      holds: this.input.holds(),
      now: this.input.now(),
      wall: this.input.wall(),
    };
  }

  /** Ends when what was bound is durable, or surely is not. */
  private place(catalog: Catalog): Promise<unknown> {
    const view = this.view(catalog);
    const asks = placementRequests(view);
    const rooms = availableCapacity(view);
    const uses = teamUsage(this.shareState);
    const packed = packAll(
      asks,
      rooms.filter((room) => room.live),
      this.input.limits,
      uses,
    );
    const bound = this.bindAll(packed.puts);
    this.evict(packed.left, rooms);
    this.plan(packed.left, rooms, uses, catalog);
    return bound;
  }

  private bindAll(puts: readonly Assignment[]): Promise<unknown> {
    const byJob = new Map<ShareJob, Binding[]>();
    for (const put of puts) {
      const job = this.shareState.jobs.get(put.job);
      const machine = this.shareState.machines.get(put.machine);
      if (!job || !machine) continue;
      let list = byJob.get(job);
      if (!list) {
        job.attempt += 1;
        byJob.set(job, (list = []));
      }
      list.push(this.shareState.bind(job, put.index, job.attempt, machine, { _tag: 'binding' }));
    }
    const commits: Promise<void>[] = [];
    const arrays: { write: RunWrite; bindings: readonly Binding[] }[] = [];
    for (const [job, bindings] of byJob) {
      const chunks = [...new Set(bindings.map((binding) => chunkOf(binding.index)))];
      const entries = chunks.map((chunk) => ({
        write: this.writer.runWrite(job, chunk),
        bindings: bindings.filter((binding) => chunkOf(binding.index) === chunk),
      }));
      // A gang's bind is one conditional write.
      if (job.spec.kind === 'gang') commits.push(this.commitBinds(entries, job));
      else arrays.push(...entries);
    }
    for (const batch of this.writer.batches(arrays)) commits.push(this.commitBinds(batch));
    return Promise.all(commits);
  }

  private async commitBinds(
    entries: readonly { write: RunWrite; bindings: readonly Binding[] }[],
    gang: ShareJob | null = null,
  ): Promise<void> {
    const writes = entries.map((entry) => entry.write);
    const committed = gang
      ? await this.writer.commitGang(gang, writes, 'bind')
      : await this.writer.commitRuns(writes, 'bind');
    const bindings = entries.flatMap((entry) => entry.bindings);
    for (const binding of bindings) {
      if (committed) this.shareState.apply(binding, { _tag: 'durable' });
      else this.shareState.unbind(binding);
    }
    if (committed && this.stage !== 'lost') this.sessions.sendRuns(bindings);
    this.poke();
  }

  /**
   * Whole groups of lower priority go when nothing else helps: no room here, no free machine in another share
   * that would do, and nothing already on its way out. One job a round, and only if it can start for it.
   */
  private evict(left: readonly UnplacedRequest[], rooms: readonly AvailableCapacity[]): void {
    const now = this.input.now();
    if (now - this.evictedAt < PREEMPT_INTERVAL_MS) return;
    const candidates = left
      .filter(({ ask }) => ask.spec.priority > 0 && this.input.wall() - ask.at >= PREEMPT_AFTER_MS)
      .slice(0, PREEMPT_REQUESTS_MAX);
    if (candidates.length === 0) return;
    for (const machine of this.shareState.machines.values()) {
      for (const binding of machine.bound.values()) if (binding.stop?.reason === 'evicted') return;
    }
    this.evictedAt = now;
    const occupied = this.occupied(rooms);
    for (const { ask, count } of candidates) {
      if (this.input.spareElsewhere(this.slot, ask.spec)) continue;
      const victims = chooseVictims(
        ask.spec,
        count,
        ask.failedOn.size === 0 ? occupied : occupied.filter((machine) => !ask.failedOn.has(machine.id)),
      );
      if (victims.length === 0) continue;
      for (const victim of victims) {
        const job = this.shareState.jobs.get(victim.job);
        if (!job) continue;
        log.info({ event: 'group.evicted', job: victim.job, machine: victim.machine, for: ask.job });
        for (const binding of job.bindings.values()) {
          if (job.spec.kind === 'gang' || binding.machine === victim.machine)
            this.shareState.stop(binding, 'evicted', this.shareState.graceOf(job));
        }
      }
      return;
    }
  }

  private occupied(rooms: readonly AvailableCapacity[]): readonly OccupiedMachine[] {
    const now = this.input.now();
    const occupied: OccupiedMachine[] = [];
    for (const room of rooms) {
      const machine = this.shareState.machines.get(room.id);
      if (!machine || !room.live) continue;
      const groups = new Map<string, { binding: Binding; job: ShareJob; tasks: number }>();
      for (const binding of machine.bound.values()) {
        const job = this.shareState.jobs.get(binding.job);
        if (!job || binding.stop) continue;
        const known = groups.get(binding.job);
        groups.set(binding.job, { binding, job, tasks: (known?.tasks ?? 0) + 1 });
      }
      occupied.push({
        id: room.id,
        type: room.type,
        zone: room.zone,
        spot: room.spot,
        free: room.free,
        groups: [...groups.values()]
          // What ends before it could be stopped is not worth stopping.
          .filter(({ binding, job }) => {
            const leftS = job.spec.estimateS - (now - (binding.runningAt ?? now)) / 1000;
            return leftS > this.shareState.graceOf(job) || leftS < -job.spec.estimateS;
          })
          .map(({ job, tasks }) => ({
            job: job.spec.id,
            priority: job.spec.priority,
            gang: job.spec.kind === 'gang',
            tasks,
            demand: {
              cpus: job.spec.cpus * tasks,
              gpus: job.spec.gpus * tasks,
              memoryGb: job.spec.memoryGb * tasks,
            },
          })),
      });
    }
    return occupied;
  }

  /** What the leader should know. */
  private plan(
    left: readonly UnplacedRequest[],
    rooms: readonly AvailableCapacity[],
    uses: Map<string, Usage>,
    catalog: Catalog,
  ): void {
    const now = this.input.now();
    if (now - this.plannedAt < PLAN_MS) return;
    this.plannedAt = now;
    const needs = unmetDemand(
      left,
      rooms,
      this.input.limits,
      uses,
      catalog,
      this.input.objectives,
      this.input.wall(),
    );
    const free = [...this.shareState.machines.values()].filter(
      (machine) => machine.bound.size === 0 && this.movable(machine),
    );
    this.summary = {
      share: this.slot,
      claim: this.claim,
      revision: this.input.cache.revision,
      needs,
      spares: spareMachines(free, now),
    };
    // The leader hears at once of what is new; what merely goes on waiting comes with the next heartbeat.
    const said = [
      ...needs.map((need) => `${need.tasks}:${need.gangs.map((gang) => gang.job).join()}`),
      needs.length > 0 ? this.summary.spares.length : '',
    ].join('|');
    if (said !== this.lastSaid) this.input.changed();
    this.lastSaid = said;
  }

  /** Of the jobs with tasks on machines, a bounded number. */
  allCounts(): readonly (readonly [id: string, done: number, running: number])[] {
    const list: (readonly [string, number, number])[] = [];
    for (const job of this.shareState.jobs.values()) {
      if (list.length >= TASK_COUNTS_MAX) break;
      const counts = job.bindings.size > 0 || job.done.size > 0 ? this.counts(job.spec.id) : null;
      if (counts) list.push([job.spec.id, counts.done, counts.running]);
    }
    return list;
  }

  counts(id: string): { done: number; running: number } | null {
    const job = this.shareState.jobs.get(id);
    if (!job) return null;
    let running = 0;
    for (const binding of job.bindings.values()) if (onMachine(binding.phase)) running += 1;
    return { done: job.done.size, running };
  }
}
