/**
 * This controller's view of all pipelines, built from the shared keys and from final records. A job counts as
 * done only by its durable final record, so a late message cannot start a dependent job too early. The change
 * dispatcher reports changes to the view; placement reads readiness and effective priority from it.
 */
import * as Effect from 'effect/Effect';
import {
  FINAL_RECORD_CHECK_INTERVAL_MS,
  MAX_CONCURRENT_FINAL_RECORD_READS,
  STAGE_TRANSITION_MS,
} from '../constants/pipelines.js';
import type { FinalRecord, JobRecord } from '../jobs/model.js';
import { log } from '../log.js';
import { jobKey } from '../kv-store/keys.js';
import type { WatchCache } from '../kv-store/watch-cache.js';
import type { FinalRecordCache } from './final-record-cache.js';
import { PipelineIndex, type DependencyOutcome, type EffectivePriority, type Readiness } from './graph.js';

/** What the view of the pipelines needs of the rest of the controller. */
export interface PipelinesDependencies {
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: FinalRecordCache;
  /** Whether this controller holds the team's shard and so needs the outcomes of dependencies at once. */
  readonly ownsTeam: (team: string) => boolean;
  /** Called with the jobs whose readiness or effective priority may have changed. */
  readonly onChange: (ids: ReadonlySet<string>) => void;
}

const outcomeOf = (final: FinalRecord): DependencyOutcome =>
  final.state === 'done' ? { _tag: 'done', at: final.at } : { _tag: 'cancelled' };

/** State: the index, and the final records that are still to be read. */
export class Pipelines {
  private readonly index = new PipelineIndex(STAGE_TRANSITION_MS);
  /**
   * Ended jobs whose final records are yet to be read, because jobs of this controller's shards depend on
   * them.
   */
  private readonly unreadFinalRecords = new Set<string>();
  /** Resumes `run`; null: `run` is not waiting. */
  private wake: (() => void) | null = null;
  /** By id: the team of each job that has dependencies. */
  private readonly teamsOfDependants = new Map<string, string>();

  constructor(private readonly dependencies: PipelinesDependencies) {}

  readiness(id: string): Readiness {
    return this.index.readiness(id);
  }

  /**
   * The effective priority of a job; null: the job has ended, or parts of its dependency list are still
   * missing.
   */
  effectivePriority(id: string): EffectivePriority | null {
    return this.index.effectivePriority(id);
  }

  /**
   * Handles a new or changed record of a job; `dependsOn` is null while parts of the list are still missing.
   */
  onJob(id: string, { spec, at, cancelled }: JobRecord, dependsOn: readonly string[] | null): void {
    // Without its whole dependency list the job is not in the index and counts as waiting.
    if (dependsOn === null) return;
    if (dependsOn.length > 0) this.teamsOfDependants.set(id, spec.team);
    this.notify(
      this.index.put({
        id,
        dependsOn,
        priority: spec.priority,
        dueAt: spec.deadlineS === null ? null : at + spec.deadlineS * 1_000,
        estimateMs: spec.estimateS * 1_000,
        cancelled,
      }),
    );
    this.resolveDependencies(id);
  }

  /** Handles the deletion of a job's record, which means that the job has ended. */
  onJobGone(id: string): void {
    this.teamsOfDependants.delete(id);
    const dependants = [...this.index.dependantsOf(id)];
    this.notify(this.index.remove(id));
    for (const dependant of dependants) this.resolveDependencies(dependant);
  }

  /** Looks up the outcomes of the dependencies of all jobs, after a shard was taken over. */
  resolveAllDependencies(): void {
    for (const id of this.teamsOfDependants.keys()) this.resolveDependencies(id);
  }

  /** Handles the final record of a job, which is durable. */
  onFinalRecord(id: string, final: FinalRecord): void {
    this.dependencies.finalRecords.put(id, final);
    this.unreadFinalRecords.delete(id);
    this.notify(this.index.setOutcome(id, outcomeOf(final)));
  }

  /**
   * Reads the outcomes of the dependencies of a job for a request by a user; false: some could not be read.
   */
  resolve(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const reads = yield* Effect.forEach(this.endedDependencies(id), (dependency) => this.read(dependency), {
        concurrency: MAX_CONCURRENT_FINAL_RECORD_READS,
      });
      return reads.every(Boolean);
    });
  }

  /** Reads the queued final records, a few at a time. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      if (this.unreadFinalRecords.size === 0) yield* this.untilQueued;
      this.wake = null;
      const ids = [...this.unreadFinalRecords].slice(0, MAX_CONCURRENT_FINAL_RECORD_READS);
      yield* Effect.forEach(ids, (id) => this.read(id), { concurrency: 'unbounded' });
      // Records that could not be read move to the end of the queue.
      for (const id of ids) if (this.unreadFinalRecords.delete(id)) this.unreadFinalRecords.add(id);
      yield* Effect.sleep(FINAL_RECORD_CHECK_INTERVAL_MS);
    }
  });

  private readonly untilQueued: Effect.Effect<void> = Effect.promise(
    () =>
      new Promise<void>((resolve) => {
        this.wake = resolve;
        // A read may have been queued before this fiber began to wait.
        if (this.unreadFinalRecords.size > 0) resolve();
      }),
  );

  private notify(ids: ReadonlySet<string>): void {
    if (ids.size > 0) this.dependencies.onChange(ids);
  }

  /** Looks up the outcomes of the ended dependencies of a job: in the cache, or else by queueing a read. */
  private resolveDependencies(id: string): void {
    const team = this.teamsOfDependants.get(id);
    if (team === undefined) return;
    for (const dependency of [...this.index.unresolvedDependencies(id)]) {
      const final = this.dependencies.finalRecords.get(dependency);
      if (final) this.onFinalRecord(dependency, final);
      else if (this.hasEnded(dependency) && this.dependencies.ownsTeam(team)) this.queueRead(dependency);
    }
  }

  private hasEnded(id: string): boolean {
    return !this.index.has(id) && !this.dependencies.cache.get(jobKey(id));
  }

  private queueRead(id: string): void {
    this.unreadFinalRecords.add(id);
    this.wake?.();
  }

  /**
   * The ended jobs that the job depends on, directly or through other jobs that wait. Indirect ones are
   * included because the controllers that hold the shards of the waiting jobs may not know the outcomes yet.
   */
  private endedDependencies(id: string): readonly string[] {
    // The loop adds to this set while iterating over it.
    const waiting = new Set([id]);
    const ended: string[] = [];
    for (const job of waiting) {
      for (const dependency of this.index.unresolvedDependencies(job)) {
        if (this.index.has(dependency)) waiting.add(dependency);
        else if (this.hasEnded(dependency)) ended.push(dependency);
      }
    }
    return ended;
  }

  /** Reads one final record; false: the key-value store did not answer. */
  private read(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const read = yield* this.dependencies.finalRecords.read(id);
      if (read._tag === 'found') this.onFinalRecord(id, read.final);
      // The final record must exist: a job depends only on recorded jobs, and the record of a job is deleted
      // only when its final record is written.
      else if (read._tag === 'absent') log.error({ event: 'pipeline.final_record_missing', job: id });
      return read._tag !== 'failed';
    });
  }
}
