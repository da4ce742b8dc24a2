/**
 * One shard of teams and machines, for as long as this process holds its claim: what the rest of the
 * controller calls, and what one placement round does. Owns the shard's stage; jobs, machines and bindings
 * are the shard state's. `HeldShards` creates it, and the heartbeat handler and the change dispatcher call
 * it.
 */
import * as Effect from 'effect/Effect';
import type { MachineRecord } from '../fleet/machine-record.js';
import { readMachineRecord } from '../fleet/machine-record-codec.js';
import type { MachineTransfer } from '../fleet/machine-transfer.js';
import type { ShardSummary } from '../fleet/shard-summary.js';
import type { Catalog, JobRecord } from '../jobs/model.js';
import { MACHINE_PREFIX, machineOfKey } from '../kv-store/keys.js';
import { log } from '../log.js';
import type { WorkerHeartbeat } from '../workers/model.js';
import { packRequests } from './bin-packing.js';
import { availableCapacity, placementRequests, teamUsage, type PlacementView } from './placement-view.js';
import { RoundLoop } from './round-loop.js';
import { RoundWaiters } from './round-waiters.js';
import { composeShard, type ShardComponents } from './shard-composition.js';
import type { ShardContext } from './shard-context.js';
import { ShardStage, type Stage } from './shard-stage.js';
import { allTaskCounts, taskCountsOf, type NamedTaskCounts, type TaskCounts } from './task-counts.js';
import type { FencedCommands, HeartbeatReceipt } from './worker-sessions.js';

/** One shard, under one claim. */
export class Shard {
  private readonly shardStage: ShardStage;
  private readonly roundLoop: RoundLoop;
  private readonly roundWaiters = new RoundWaiters();
  private readonly components: ShardComponents;

  constructor(
    readonly shardId: number,
    /** Revision of the claim. */
    readonly claim: number,
    private readonly context: ShardContext,
  ) {
    this.shardStage = new ShardStage({ shardId, claim });
    this.roundLoop = new RoundLoop({
      now: context.now,
      isLost: this.shardStage.isLost,
      coreFraction: context.coreFraction,
      processorMs: context.processorMs,
      mayAct: context.mayAct,
      round: () => this.round(),
    });
    this.components = composeShard({
      shardId,
      claim,
      context,
      stage: this.shardStage,
      requestRound: this.roundLoop.requestRound,
      markLost: () => this.markLost(),
    });
    for (const { key, value, version } of context.cache.entriesOfKind(MACHINE_PREFIX))
      this.onMachineRecord(machineOfKey(key), readMachineRecord(value), version);
  }

  get stage(): Stage {
    return this.shardStage.current;
  }

  /** What the leader should know; null: nothing is placed yet. */
  get summary(): ShardSummary | null {
    return this.components.summaryBuilder.latest;
  }

  // ---- changes of the shared records ----------------------------------------------------------------------

  onMachineRecord(id: string, record: MachineRecord, version: number): void {
    this.components.changes.onMachineRecord(id, record, version);
  }

  onMachineGone(id: string): void {
    this.components.changes.onMachineGone(id);
  }

  onJobRecord(record: JobRecord, version: number): void {
    this.components.changes.onJobRecord(record, version);
  }

  onJobGone(id: string): void {
    this.components.changes.onJobGone(id);
  }

  /** The readiness or effective priority of a job may have changed. */
  onEffectivePriority(id: string): void {
    this.components.changes.onEffectivePriority(id);
  }

  /**
   * Another controller is about to tell a user of the cancellation that is durable at this revision. True:
   * from now on every answer to a worker says so.
   */
  acknowledgeCancellation(id: string, version: number): boolean {
    return this.components.changes.acknowledgeCancellation(id, version);
  }

  // ---- workers --------------------------------------------------------------------------------------------

  /** Null: the heartbeat is older than one already seen, or names a higher token than this shard's. */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatReceipt | null {
    return this.components.sessions.onHeartbeat(heartbeat);
  }

  /** The answer to the heartbeat that was received last from this machine; null: it is not the last one. */
  orders(heartbeat: WorkerHeartbeat): FencedCommands | null {
    return this.components.sessions.commandsFor(heartbeat);
  }

  /** Resolves when the binds of a whole round that begins after now are durable, or after `ms`. */
  nextRound(machineId: string, ms: number): Promise<void> {
    this.requestRound();
    const machine = this.components.shardState.machines.get(machineId);
    if (machine) machine.pendingAnswers += 1;
    return this.roundWaiters.wait(ms).then(() => {
      if (machine) machine.pendingAnswers -= 1;
    });
  }

  /**
   * Machines that should report, and those heard from lately: all of none means that no worker reaches this
   * controller.
   */
  heartbeatCoverage(): { readonly machines: number; readonly reporting: number } {
    const { liveness } = this.components;
    return liveness.heartbeatCoverage(liveness.unreachableAfterMs);
  }

  /** Moves free machines to other shards, on the leader's order. True: at least one is moved. */
  transferMachines(moves: readonly MachineTransfer[]): Promise<boolean> {
    return this.components.lifecycle.transferMachines(moves);
  }

  // ---- task counts ----------------------------------------------------------------------------------------

  /** Of the jobs with tasks on machines or done, a bounded number. */
  allTaskCounts(): readonly NamedTaskCounts[] {
    return allTaskCounts(this.components.shardState.jobs.values());
  }

  /** Null: the shard does not know the job. */
  taskCounts(id: string): TaskCounts | null {
    const job = this.components.shardState.jobs.get(id);
    return job ? taskCountsOf(job) : null;
  }

  // ---- from the claim to its loss -------------------------------------------------------------------------

  /** Loads the shard, then places until the claim is lost. */
  readonly run: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (!this.shardStage.isLoaded()) yield* this.components.loader.load;
    yield* this.roundLoop.run;
  });

  /** The claim is no longer this process's: no further round begins. */
  markLost(): void {
    if (this.shardStage.isLost()) return;
    this.shardStage.apply('lost');
    log.info({ event: 'shard.lost', shardId: this.shardId, claim: this.claim });
    this.requestRound();
  }

  requestRound(): void {
    this.roundLoop.requestRound();
  }

  // ---- one round ------------------------------------------------------------------------------------------

  /** Decisions only. What they write goes out apart from the rounds, in transactions of its own. */
  private round(): void {
    const { directCommands, lifecycle, flusher } = this.components;
    const waiting = this.roundWaiters.current();
    directCommands.sendStops();
    lifecycle.check();
    flusher.finishJobs();
    this.placeIfRebuilt();
    const catalog = this.context.catalog();
    const placed = this.shardStage.isPlacing() && catalog !== null ? this.place(catalog) : Promise.resolve();
    void placed.then(() => {
      for (const end of waiting) end();
    });
    flusher.flush();
  }

  private placeIfRebuilt(): void {
    if (this.stage !== 'rebuilding' || !this.components.liveness.isRebuilt()) return;
    this.shardStage.apply('rebuilt');
    log.info({ event: 'shard.placing', shardId: this.shardId });
  }

  /** Resolves when what was bound is durable, or surely is not. */
  private place(catalog: Catalog): Promise<unknown> {
    const { shardState, binder, preemptor, summaryBuilder } = this.components;
    const view = this.view(catalog);
    const requests = placementRequests(view);
    const capacities = availableCapacity(view);
    const usage = teamUsage(shardState);
    const packed = packRequests(
      requests,
      capacities.filter((capacity) => capacity.live),
      this.context.limits,
      usage,
    );
    const bound = binder.bindAll(packed.assignments);
    preemptor.run(packed.unplaced, capacities);
    summaryBuilder.update(packed.unplaced, capacities, usage, catalog);
    return bound;
  }

  private view(catalog: Catalog): PlacementView {
    const { shardState, liveness } = this.components;
    return {
      shardState,
      liveness,
      catalog,
      scarceDemand: this.context.scarceDemand,
      guarantees: this.context.guarantees,
      objectives: this.context.objectives,
      reservations: this.context.reservations(),
      now: this.context.now(),
      wall: this.context.wall(),
    };
  }
}
