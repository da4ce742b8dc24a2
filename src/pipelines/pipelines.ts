/**
 * This controller's view of all pipelines, from the shared keys and from final records. A job counts as done
 * only by its durable final record, so a late message cannot start a dependent job too early. The change
 * dispatcher feeds the view; placement reads readiness and effective priority from it.
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
  /** Ended jobs that jobs of this controller's shards depend on, with final records yet to be read. */
  private readonly unreadFinalRecords = new Set<string>();
  /** Resumes `run`; null: `run` is not waiting. */
  private wake: (() => void) | null = null;
  /** By id: the team of each job that has dependencies. */
  private readonly teamsOfDependants = new Map<string, string>();

  constructor(private readonly dependencies: PipelinesDependencies) {}

  readiness(id: string): Readiness {
    return this.index.readiness(id);
  }

  /** Null: the job has ended, or parts of its dependency list have not been seen yet. */
  effectivePriority(id: string): EffectivePriority | null {
    return this.index.effectivePriority(id);
  }

  /** A job's record is new or changed; `dependsOn` is null while parts of the list have not been seen yet. */
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

  /** A job's record was deleted: the job has ended. */
  onJobGone(id: string): void {
    this.teamsOfDependants.delete(id);
    const dependants = [...this.index.dependantsOf(id)];
    this.notify(this.index.remove(id));
    for (const dependant of dependants) this.resolveDependencies(dependant);
  }

  /** Looks up how the dependencies of all jobs ended, after a shard was taken over. */
  resolveAllDependencies(): void {
    for (const id of this.teamsOfDependants.keys()) this.resolveDependencies(id);
  }

  /** The final record of a job is durable. */
  onFinalRecord(id: string, final: FinalRecord): void {
    this.dependencies.finalRecords.put(id, final);
    this.unreadFinalRecords.delete(id);
    this.notify(this.index.setOutcome(id, outcomeOf(final)));
  }

  /** Reads how the dependencies of a job ended, for a request of a user; false: some could not be read. */
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

  /** Looks up how the ended dependencies of this job ended: in the cache, or else by queueing a read. */
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
   * Ended jobs that the job depends on, directly or through jobs that wait themselves: the controllers that
   * hold the shards of those jobs may not know yet how these ended.
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
      // Must exist: a job depends only on recorded jobs, and a final record replaces the record of its job.
      else if (read._tag === 'absent') log.error({ event: 'pipeline.final_record_missing', job: id });
      return read._tag !== 'failed';
    });
  }
}
