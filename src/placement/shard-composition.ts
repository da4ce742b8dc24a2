/**
 * Builds the classes that make up a shard and wires them to each other. No state; called once by the
 * constructor of `Shard`.
 */
import { jobKey } from '../kv-store/keys.js';
import { Binder } from './binder.js';
import { ClaimTransactions } from './claim-transactions.js';
import { DirectCommands } from './direct-commands.js';
import { FinalRecordWriter } from './final-record-writer.js';
import { MachineLifecycle } from './machine-lifecycle.js';
import { MachineLiveness } from './machine-liveness.js';
import { MachineRecordWriter } from './machine-record-writer.js';
import { MachineReleases } from './machine-releases.js';
import { ImmediateRemoval, TombstonedRemoval, type OrphanedKeys } from './orphaned-keys.js';
import type { RoundTrigger, ShardIdentity } from './ports.js';
import { Preemptor } from './preemptor.js';
import { RecordFlusher } from './record-flusher.js';
import { RunWriter } from './run-writer.js';
import { isKnownCancelled, ShardChanges } from './shard-changes.js';
import type { ShardContext } from './shard-context.js';
import { ShardLoader } from './shard-loader.js';
import type { ShardStage } from './shard-stage.js';
import { ShardState } from './shard-state.js';
import { ShardSummaryBuilder } from './shard-summary-builder.js';
import { WorkerSessions } from './worker-sessions.js';
import { WorkerTokens } from './worker-tokens.js';

/** What the shard itself provides to its classes. */
export interface ShardFoundation extends ShardIdentity, RoundTrigger {
  readonly context: ShardContext;
  readonly stage: ShardStage;
  /** Called when a transaction shows that the claim has changed. */
  readonly markLost: () => void;
}

/** The classes of one shard. */
export interface ShardComponents {
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly sessions: WorkerSessions;
  readonly directCommands: DirectCommands;
  readonly changes: ShardChanges;
  readonly loader: ShardLoader;
  readonly lifecycle: MachineLifecycle;
  readonly flusher: RecordFlusher;
  readonly binder: Binder;
  readonly preemptor: Preemptor;
  readonly summaryBuilder: ShardSummaryBuilder;
}

/**
 * The classes that the others are built from: the state, the worker sessions, and the writers of durable
 * records.
 */
interface Wiring {
  readonly shardState: ShardState;
  readonly liveness: MachineLiveness;
  readonly sessions: WorkerSessions;
  readonly directCommands: DirectCommands;
  readonly transactions: ClaimTransactions;
  readonly runs: RunWriter;
  readonly orphanedKeys: OrphanedKeys;
}

const createLiveness = ({ context }: ShardFoundation, shardState: ShardState): MachineLiveness =>
  new MachineLiveness({
    machines: shardState.machines,
    catalog: context.catalog,
    workers: context.workers,
    now: context.now,
    wall: context.wall,
  });

const createSessions = (
  { context, stage, requestRound }: ShardFoundation,
  shardState: ShardState,
  tokens: WorkerTokens,
  liveness: MachineLiveness,
): WorkerSessions =>
  new WorkerSessions({
    shardState,
    tokens,
    now: context.now,
    leaseMs: liveness.leaseMs,
    isLoaded: stage.isLoaded,
    isPlacing: stage.isPlacing,
    isCancelled: (job) => isKnownCancelled(shardState, context.cache, job),
    requestRound,
  });

const createDirectCommands = (
  { context, stage, requestRound }: ShardFoundation,
  shardState: ShardState,
  tokens: WorkerTokens,
): DirectCommands =>
  new DirectCommands({
    shardState,
    tokens,
    now: context.now,
    isLoaded: stage.isLoaded,
    isLost: stage.isLost,
    requestRound,
    sendCommands: context.sendCommands,
  });

const createOrphanedKeys = (
  { shardId, claim, context }: ShardFoundation,
  shardState: ShardState,
  transactions: ClaimTransactions,
): OrphanedKeys => {
  const { store, cache, cleanUpDuty, valueBytes, wall } = context;
  if (cleanUpDuty === null) return new ImmediateRemoval(store, transactions);
  return new TombstonedRemoval({
    store,
    shardId,
    claim,
    duty: cleanUpDuty,
    valueBytes,
    isJobKnown: (job) => shardState.jobs.has(job) || cache.get(jobKey(job)) !== undefined,
    wall,
  });
};

const createWiring = (foundation: ShardFoundation): Wiring => {
  const { shardId, claim, context, stage, markLost, requestRound } = foundation;
  const { store, valueBytes, maySplit, now, wall } = context;
  const shardState = new ShardState({ now, wall, requestRound });
  const liveness = createLiveness(foundation, shardState);
  const tokens = new WorkerTokens({ claim, appliedRevision: () => context.cache.revision });
  const sessions = createSessions(foundation, shardState, tokens, liveness);
  const directCommands = createDirectCommands(foundation, shardState, tokens);
  const transactions = new ClaimTransactions({ store, shardId, claim, markLost, isLost: stage.isLost });
  const runs = new RunWriter({ transactions, store, shardId, valueBytes, maySplit });
  const orphanedKeys = createOrphanedKeys(foundation, shardState, transactions);
  return { shardState, liveness, sessions, directCommands, transactions, runs, orphanedKeys };
};

const createChanges = (
  { shardId, context, stage, requestRound }: ShardFoundation,
  { shardState, directCommands }: Wiring,
): ShardChanges =>
  new ShardChanges({
    shardId,
    shardState,
    directCommands,
    isLoaded: stage.isLoaded,
    isLost: stage.isLost,
    requestRound,
    catalog: context.catalog,
    mayAct: context.mayAct,
    shardOfTeam: context.shardOfTeam,
    readiness: context.readiness,
    effectivePriority: context.effectivePriority,
  });

const createLoader = (
  { shardId, claim, context, stage }: ShardFoundation,
  { shardState, liveness, orphanedKeys }: Wiring,
  changes: ShardChanges,
): ShardLoader =>
  new ShardLoader({
    shardId,
    claim,
    store: context.store,
    cache: context.cache,
    shardOfTeam: context.shardOfTeam,
    shardState,
    orphanedKeys,
    isLost: stage.isLost,
    onRunsRead: () => {
      stage.apply('loaded');
      liveness.loadedAt = context.now();
    },
    onEffectivePriority: (job) => changes.onEffectivePriority(job),
    onLoaded: context.onLoaded,
  });

const createLifecycle = (
  { shardId, claim, context, stage }: ShardFoundation,
  { shardState, liveness, sessions, transactions }: Wiring,
): MachineLifecycle =>
  new MachineLifecycle({
    shardId,
    store: context.store,
    shardState,
    liveness,
    releases: new MachineReleases({
      machines: shardState.machines,
      liveness,
      workers: context.workers,
      isBootBound: context.isBootBound,
      now: context.now,
      wall: context.wall,
    }),
    sessions,
    records: new MachineRecordWriter({ transactions, claim, valueBytes: context.valueBytes }),
    now: context.now,
    isPlacing: stage.isPlacing,
    isLost: stage.isLost,
    releaseNow: context.releaseNow,
  });

const createFlusher = (
  { shardId, context, stage, requestRound }: ShardFoundation,
  { shardState, transactions, runs, orphanedKeys }: Wiring,
): RecordFlusher =>
  new RecordFlusher({
    store: context.store,
    shardState,
    runs,
    finalRecords: new FinalRecordWriter({ transactions, store: context.store, shardId, wall: context.wall }),
    orphanedKeys,
    now: context.now,
    isLost: stage.isLost,
    requestRound,
    onFinalRecord: context.onFinalRecord,
  });

const createSummaryBuilder = (
  { shardId, claim, context }: ShardFoundation,
  shardState: ShardState,
  lifecycle: MachineLifecycle,
): ShardSummaryBuilder =>
  new ShardSummaryBuilder({
    shardId,
    claim,
    shardState,
    cache: context.cache,
    limits: context.limits,
    objectives: context.objectives,
    now: context.now,
    wall: context.wall,
    isTransferable: (machine) => lifecycle.isTransferable(machine),
    notifyLeader: context.notifyLeader,
  });

/** Builds the classes of one shard. */
export const composeShard = (foundation: ShardFoundation): ShardComponents => {
  const { shardId, context, stage, requestRound } = foundation;
  const wiring = createWiring(foundation);
  const { shardState, liveness, sessions, directCommands, runs } = wiring;
  const { now, wall, spareElsewhere } = context;
  const changes = createChanges(foundation, wiring);
  const lifecycle = createLifecycle(foundation, wiring);
  return {
    shardState,
    liveness,
    sessions,
    directCommands,
    changes,
    loader: createLoader(foundation, wiring, changes),
    lifecycle,
    flusher: createFlusher(foundation, wiring),
    binder: new Binder({ shardState, runs, directCommands, isLost: stage.isLost, requestRound }),
    preemptor: new Preemptor({ shardId, shardState, now, wall, spareElsewhere }),
    summaryBuilder: createSummaryBuilder(foundation, shardState, lifecycle),
  };
};
