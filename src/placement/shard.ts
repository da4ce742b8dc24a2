/**
 * One shard of teams and machines while this process holds its claim: the operations that the rest of the
 * controller calls, and the placement round. Owns the shard's stage; `ShardState` owns the jobs, machines and
 * bindings. `HeldShards` creates it, and the heartbeat handler and the change dispatcher call it.
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

  /** The summary for the leader; null: the shard has not reached its first placement round. */
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

  /** See `ShardChanges.onEffectivePriority`. */
  onEffectivePriority(id: string): void {
    this.components.changes.onEffectivePriority(id);
  }

  /**
   * Applies a cancellation that is durable at this revision, before another controller confirms it to a user.
   * True: every answer to a worker from now on takes the cancellation into account; false: the claim is lost.
   */
  acknowledgeCancellation(id: string, version: number): boolean {
    return this.components.changes.acknowledgeCancellation(id, version);
  }

  // ---- workers --------------------------------------------------------------------------------------------

  /** Applies a heartbeat; null: it is not accepted. See `WorkerSessions.onHeartbeat`. */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatReceipt | null {
    return this.components.sessions.onHeartbeat(heartbeat);
  }

  /** The commands in the answer to a heartbeat; null: none is sent. See `WorkerSessions.commandsFor`. */
  commandsFor(heartbeat: WorkerHeartbeat): FencedCommands | null {
    return this.components.sessions.commandsFor(heartbeat);
  }

  /**
   * Requests a round. Resolves when each binding of a round that began after the call is durable or has been
   * removed, or after `ms`. Meanwhile the wait counts in the machine's `pendingAnswers`.
   */
  nextRound(machineId: string, ms: number): Promise<void> {
    this.requestRound();
    const machine = this.components.shardState.machines.get(machineId);
    if (machine) machine.pendingAnswers += 1;
    return this.roundWaiters.wait(ms).then(() => {
      if (machine) machine.pendingAnswers -= 1;
    });
  }

  /**
   * The number of machines whose workers should send heartbeats (`machines`), and how many of them sent one
   * recently (`reporting`). If there are machines and `reporting` is 0, no worker reaches this controller.
   */
  heartbeatCoverage(): { readonly machines: number; readonly reporting: number } {
    const { liveness } = this.components;
    return liveness.heartbeatCoverage(liveness.unreachableAfterMs);
  }

  /**
   * Transfers free machines to other shards, as the leader ordered. Resolves to true if at least one is
   * transferred.
   */
  transferMachines(moves: readonly MachineTransfer[]): Promise<boolean> {
    return this.components.lifecycle.transferMachines(moves);
  }

  // ---- task counts ----------------------------------------------------------------------------------------

  /** Task counts of the jobs with bound or done tasks, for at most `MAX_JOBS_WITH_TASK_COUNTS` jobs. */
  allTaskCounts(): readonly NamedTaskCounts[] {
    return allTaskCounts(this.components.shardState.jobs.values());
  }

  /** Task counts of one job; null: the shard does not know the job. */
  taskCounts(id: string): TaskCounts | null {
    const job = this.components.shardState.jobs.get(id);
    return job ? taskCountsOf(job) : null;
  }

  // ---- from the claim to its loss -------------------------------------------------------------------------

  /** Loads the shard, then runs placement rounds until the claim is lost. */
  readonly run: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    if (!this.shardStage.isLoaded()) yield* this.components.loader.load;
    yield* this.roundLoop.run;
  });

  /** Records that this process no longer holds the claim: no further round begins. */
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

  /**
   * Runs one round. The round only makes decisions. The resulting writes are sent in transactions of their
   * own, which the round does not await.
   */
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

  /** Places waiting tasks. Resolves when each new binding is durable or has been removed. */
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
