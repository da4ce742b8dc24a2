import type { Duty } from '@dalegate/fencing';
import * as Effect from 'effect/Effect';
import { MAX_JOBS_WITH_TASK_COUNTS } from '../constants/peers.js';
import { PLACEMENT_INTERVAL_MS } from '../constants/placement.js';
import { STORE_RETRY_DELAY_MS } from '../constants/key-value-store.js';
import {
  readMachineRecord,
  type MachineRecord,
  type MachineTransfer,
  type Reservation,
  type ShardSummary,
} from '../fleet/records.js';
import { readJobRecord } from '../jobs/codec.js';
import type { Catalog, Demand, FinalRecord, JobRecord, JobSpec } from '../jobs/model.js';
import { log } from '../log.js';
import type { KeyValueStore } from '../kv-store/client.js';
import { JOB_PREFIX, jobKey, MACHINE_PREFIX, machineOfKey, runsPrefix } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { DirectResult } from '../workers/worker-client.js';
import type { Command, WorkerHeartbeat } from '../workers/model.js';
import type { Readiness, EffectivePriority } from '../pipelines/graph.js';
import { placementRequests, availableCapacity, teamUsage, type ViewInput } from './placement-view.js';
import { Binder } from './binder.js';
import { ClaimTransactions } from './claim-transactions.js';
import { FinalRecordWriter } from './final-record-writer.js';
import { MachineRecordWriter } from './machine-record-writer.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import { TombstonedRemoval, ImmediateRemoval, type OrphanedKeys } from './orphaned-keys.js';
import { Preemptor } from './preemptor.js';
import { RecordFlusher } from './record-flusher.js';
import { RoundPacer } from './round-pacer.js';
import { RunLoader } from './run-loader.js';
import { ShardSummaryBuilder } from './shard-summary-builder.js';
import { ShardState } from './shard-state.js';
import { MachineLiveness } from './machine-liveness.js';
import { WorkerSessions } from './worker-sessions.js';
import { packRequests, type TeamLimit, type TeamUsage } from './bin-packing.js';
import { bindingKey } from './shard-model.js';
import { onMachine } from './attempt-phase.js';
import type { Objectives } from './urgency.js';
import { RunWriter } from './run-writer.js';

/** What a share needs of the rest of the controller. */
export interface ShardContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly catalog: () => Catalog | null;
  /**
   * The most that one task takes of the jobs, of any share, that may not use spot machines and fit no other
   * type.
   */
  readonly scarceDemand: (type: string) => Demand | null;
  /** Some class misses every start target if a machine of this type has to be booted for it. */
  readonly bootBound: (type: string) => boolean;
  readonly shardOfTeam: ReadonlyMap<string, number>;
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly guarantees: ReadonlyMap<string, TeamUsage>;
  readonly objectives: ReadonlyMap<string, Objectives>;
  readonly workers: { readonly lease_s: number; readonly report_s: number; readonly cancel_s: number };
  /** bytes: the largest value that the state service takes, now and later. */
  readonly valueBytes: number;
  /** Every node reads runs that are parted. */
  readonly maySplit: () => boolean;
  /** Part of a core that this process may use. */
  readonly coreShare: number;
  /** May this node act for the share now, under this very claim? */
  readonly mayAct: () => boolean;
  /** Has another share a free machine that would do for this job? */
  readonly spareElsewhere: (shardId: number, spec: JobSpec) => boolean;
  /** What the leader gathers machines for. */
  readonly reservations: () => readonly Reservation[];
  readonly now: () => number;
  /** ms of processor time that this process has used. */
  readonly processorMs: () => number;
  /** ms since the epoch; only for ages of jobs and machines, never for leases. */
  readonly wall: () => number;
  readonly direct: (
    addr: string,
    token: number,
    agentEpoch: number,
    commands: readonly Command[],
  ) => Promise<DirectResult>;
  /** A job's final record is durable. */
  readonly settled: (job: string, final: FinalRecord) => void;
  readonly readiness: (job: string) => Readiness;
  readonly effectivePriority: (job: string) => EffectivePriority | null;
  /** The duty of cleaning up this share's left-over state; null: it is done without marks. */
  readonly cleanUp: Duty | null;
  /** The share's runs are read: its duties begin. */
  readonly loaded: () => void;
  /** Returns machines to the cloud at once, without a record of it; true: they are gone. */
  readonly releaseNow: (machines: readonly string[]) => Promise<boolean>;
  /** Something changed that the leader or a worker waits for. */
  readonly changed: () => void;
}

/** Why nothing is placed yet: reading the state, or waiting for the machines to report. */
type Stage = 'loading' | 'rebuilding' | 'placing' | 'lost';

/** One share of teams and machines, for as long as this process holds its claim. */
export class Shard {
  stage: Stage = 'loading';
  private readonly shardState: ShardState;
  private readonly liveness: MachineLiveness;
  private readonly sessions: WorkerSessions;
  private readonly lifecycle: MachineLifecycle;
  private readonly orphanedKeys: OrphanedKeys;
  private readonly flusher: RecordFlusher;
  private readonly binder: Binder;
  private readonly preemptor: Preemptor;
  private readonly summaryBuilder: ShardSummaryBuilder;
  private wake: (() => void) | null = null;
  private roundRequested = false;
  private restUntil = 0;
  private readonly pacer: RoundPacer;

  constructor(
    readonly shardId: number,
    readonly claim: number,
    private readonly input: ShardContext,
  ) {
    const requestRound = (): void => this.requestRound();
    this.pacer = new RoundPacer(input.coreShare);
    this.shardState = new ShardState({ now: input.now, wall: input.wall, requestRound });
    this.liveness = new MachineLiveness({
      machines: this.shardState.machines,
      catalog: input.catalog,
      workers: input.workers,
      bootBound: input.bootBound,
      now: input.now,
      wall: input.wall,
    });
    this.sessions = new WorkerSessions({
      shardState: this.shardState,
      claim,
      now: input.now,
      leaseMs: this.liveness.leaseMs,
      loaded: () => this.stage !== 'loading',
      isCancelled: (id) => this.isCancelled(id),
      placing: () => this.stage === 'placing',
      lost: () => this.stage === 'lost',
      requestRound,
      direct: input.direct,
    });
    const transactions = new ClaimTransactions({
      store: input.store,
      shardId,
      claim,
      lost: () => this.markLost(),
      isLost: () => this.stage === 'lost',
    });
    const { store, valueBytes, maySplit, now, wall } = input;
    const { shardState, liveness, sessions } = this;
    const runs = new RunWriter({ transactions, store, shardId, valueBytes, maySplit });
    const finals = new FinalRecordWriter({ transactions, store, shardId, wall });
    const records = new MachineRecordWriter({ transactions, claim, valueBytes });
    const lost = (): boolean => this.stage === 'lost';
    this.lifecycle = new MachineLifecycle({
      shardId,
      store,
      shardState,
      liveness,
      sessions,
      records,
      now,
      placing: () => this.stage === 'placing',
      lost,
      releaseNow: input.releaseNow,
    });
    const { cleanUp } = input;
    this.orphanedKeys =
      cleanUp === null
        ? new ImmediateRemoval(store, transactions)
        : new TombstonedRemoval({
            store,
            shardId,
            claim,
            duty: cleanUp,
            valueBytes,
            jobKnown: (job) => shardState.jobs.has(job) || input.cache.get(jobKey(job)) !== undefined,
            wall,
          });
    this.flusher = new RecordFlusher({
      store,
      shardState,
      runs,
      finals,
      orphanedKeys: this.orphanedKeys,
      now,
      lost,
      requestRound,
      settled: input.settled,
    });
    this.binder = new Binder({ shardState, runs, sessions, lost, requestRound });
    this.preemptor = new Preemptor({ shardId, shardState, now, wall, spareElsewhere: input.spareElsewhere });
    this.summaryBuilder = new ShardSummaryBuilder({
      shardId,
      claim,
      shardState,
      cache: input.cache,
      limits: input.limits,
      objectives: input.objectives,
      now,
      wall,
      movable: (machine) => this.lifecycle.movable(machine),
      changed: input.changed,
    });
    for (const { key, value, version } of input.cache.under(MACHINE_PREFIX))
      this.onMachineRecord(machineOfKey(key), readMachineRecord(value), version);
  }

  /** What the leader should know; null: nothing is placed yet. */
  get summary(): ShardSummary | null {
    return this.summaryBuilder.latest;
  }

  // ---- what the shared keys say -------------------------------------------------------------------------

  onMachineRecord(id: string, record: MachineRecord, version: number): void {
    const known = this.shardState.machines.get(id);
    if (record.shardId !== this.shardId) {
      // Its former holder moves only free ones, so nothing of ours is on it.
      if (known) this.shardState.dropMachine(known, { _tag: 'released' });
      return;
    }
    if (known) {
      if (known.version !== version) {
        known.version = version;
        known.confirmedToken = 0;
      }
      known.releasing = record.releasing;
      return;
    }
    const total = this.input.catalog()?.get(record.type) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    const machine = this.shardState.addMachine(id, record, version, total);
    if (record.addr !== '' && this.input.mayAct()) this.sessions.greet(machine, record.agentEpoch);
    this.requestRound();
  }

  onMachineGone(id: string): void {
    const machine = this.shardState.machines.get(id);
    // The record goes only after the cloud answered 200 to the machine's release.
    if (machine) this.shardState.dropMachine(machine, { _tag: 'released' });
  }

  onJobRecord(record: JobRecord, version: number): void {
    if (this.input.shardOfTeam.get(record.spec.team) !== this.shardId || this.stage === 'loading') return;
    this.shardState.adoptJob(record, version);
    this.onEffectivePriority(record.spec.id);
    this.requestRound();
  }

  /** The readiness or standing of a job may have changed. */
  onEffectivePriority(id: string): void {
    const job = this.shardState.jobs.get(id);
    const effectivePriority = this.input.effectivePriority(id);
    if (job && effectivePriority) this.shardState.stand(id, this.input.readiness(id), effectivePriority);
  }

  /**
   * Another node is about to tell a user of this cancellation. True: from now on every answer to a worker
   * says so.
   */
  acknowledge(id: string, version: number): boolean {
    if (this.stage === 'lost') return false;
    this.shardState.acknowledge(id, version);
    this.requestRound();
    return true;
  }

  /** Is the job cancelled, as far as the shared keys and what other nodes said go? */
  private isCancelled(id: string): boolean {
    const item = this.input.cache.get(jobKey(id));
    return (
      this.shardState.acknowledged.has(id) || (item !== undefined && readJobRecord(item.value).cancelled)
    );
  }

  onJobGone(id: string): void {
    this.shardState.onRecordGone(id);
  }

  // ---- takeover ------------------------------------------------------------------------------------------

  /** Reads the share's runs. The cache already shows every change before the claim's own revision. */
  private readonly load: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    for (;;) {
      const all = yield* this.input.store.list(runsPrefix(this.shardId), 'user');
      if (all._tag === 'failed') {
        yield* Effect.sleep(STORE_RETRY_DELAY_MS);
        continue;
      }
      this.stage = 'rebuilding';
      this.liveness.loadedAt = this.input.now();
      for (const item of this.input.cache.under(JOB_PREFIX)) {
        const record = readJobRecord(item.value);
        if (this.input.shardOfTeam.get(record.spec.team) === this.shardId)
          this.shardState.adoptJob(record, item.version);
        this.onEffectivePriority(record.spec.id);
      }
      const loader = new RunLoader({ shardId: this.shardId, shardState: this.shardState });
      this.orphanedKeys.discard(loader.loadAll(all.entries));
      for (const machine of this.shardState.machines.values()) {
        machine.free = null;
        for (const task of machine.reported) {
          const binding = machine.bound.get(bindingKey(task.job, task.index, task.attempt));
          if (binding) this.shardState.apply(binding, { _tag: 'reported', state: task.state });
        }
      }
      log.info({
        event: 'share.loaded',
        shardId: this.shardId,
        claim: this.claim,
        jobs: this.shardState.jobs.size,
        machines: this.shardState.machines.size,
      });
      this.input.loaded();
      return;
    }
  });

  // ---- workers --------------------------------------------------------------------------------------------

  onHeartbeat(heartbeat: WorkerHeartbeat): { readonly hurry: boolean } | null {
    return this.sessions.onHeartbeat(heartbeat);
  }
  orders(
    heartbeat: WorkerHeartbeat,
  ): { readonly token: number; readonly commands: readonly Command[] } | null {
    return this.sessions.orders(heartbeat);
  }
  /** Machines that should report, and those heard lately: all of none means that nobody reaches this node. */
  hearing(): { readonly machines: number; readonly heard: number } {
    return this.liveness.hearing(this.liveness.deafMs);
  }

  // ---- rounds ---------------------------------------------------------------------------------------------

  requestRound(): void {
    this.roundRequested = true;
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
          if (this.roundRequested) return soon();
          const timer = setTimeout(resolve, PLACEMENT_INTERVAL_MS);
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
    this.requestRound();
    const machine = this.shardState.machines.get(id);
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
      this.roundRequested = false;
      if (this.stage === 'lost') return;
      if (!this.input.mayAct()) continue;
      const begun = this.input.processorMs();
      this.round();
      const rest = this.pacer.restAfter(this.input.processorMs() - begun);
      this.restUntil = this.input.now() + rest;
    }
  });

  /** One round: decisions only. What they write goes out beside the rounds, in transactions of its own. */
  private round(): void {
    const waiting = [...this.waiters];
    this.sessions.sendStops();
    this.lifecycle.watch();
    this.flusher.finishJobs();
    if (this.stage === 'rebuilding' && this.liveness.rebuilt()) {
      this.stage = 'placing';
      log.info({ event: 'share.placing', shardId: this.shardId });
    }
    const catalog = this.input.catalog();
    const placed = this.stage === 'placing' && catalog ? this.place(catalog) : Promise.resolve();
    void placed.then(() => {
      for (const end of waiting) end();
    });
    this.flusher.flush();
  }

  // ---- machines -------------------------------------------------------------------------------------------

  /** Moves free machines to other shares, on the leader's order. */
  transferMachines(moves: readonly MachineTransfer[]): Promise<boolean> {
    return this.lifecycle.transferMachines(moves);
  }

  // ---- durable changes ------------------------------------------------------------------------------------

  markLost(): void {
    if (this.stage === 'lost') return;
    this.stage = 'lost';
    log.info({ event: 'share.lost', shardId: this.shardId, claim: this.claim });
    this.requestRound();
  }

  // ---- placement ------------------------------------------------------------------------------------------

  private view(catalog: Catalog): ViewInput {
    return {
      shardState: this.shardState,
      liveness: this.liveness,
      catalog,
      scarceDemand: this.input.scarceDemand,
      guarantees: this.input.guarantees,
      objectives: this.input.objectives,
      reservations: this.input.reservations(),
      now: this.input.now(),
      wall: this.input.wall(),
    };
  }

  /** Ends when what was bound is durable, or surely is not. */
  private place(catalog: Catalog): Promise<unknown> {
    const view = this.view(catalog);
    const requests = placementRequests(view);
    const capacities = availableCapacity(view);
    const uses = teamUsage(this.shardState);
    const packed = packRequests(
      requests,
      capacities.filter((capacity) => capacity.live),
      this.input.limits,
      uses,
    );
    const bound = this.binder.bindAll(packed.assignments);
    this.preemptor.run(packed.left, capacities);
    this.summaryBuilder.update(packed.left, capacities, uses, catalog);
    return bound;
  }

  /** Of the jobs with tasks on machines, a bounded number. */
  allCounts(): readonly (readonly [id: string, done: number, running: number])[] {
    const list: (readonly [string, number, number])[] = [];
    for (const job of this.shardState.jobs.values()) {
      if (list.length >= MAX_JOBS_WITH_TASK_COUNTS) break;
      const counts = job.bindings.size > 0 || job.done.size > 0 ? this.counts(job.spec.id) : null;
      if (counts) list.push([job.spec.id, counts.done, counts.running]);
    }
    return list;
  }

  counts(id: string): { done: number; running: number } | null {
    const job = this.shardState.jobs.get(id);
    if (!job) return null;
    let running = 0;
    for (const binding of job.bindings.values()) if (onMachine(binding.phase)) running += 1;
    return { done: job.done.size, running };
  }
}
