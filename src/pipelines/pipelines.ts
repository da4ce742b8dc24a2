/**
 * This controller's view of all pipelines, from the shared keys and from final records. That a job is done is
 * taken only from its durable final record, so nothing that comes late can start a job too early. The change
 * dispatcher feeds it; placement asks it for readiness and effective priority.
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
  /** Does this controller hold the team's shard, so that it has to know at once how dependencies ended? */
  readonly ownsTeam: (team: string) => boolean;
  /** Readiness or effective priority of these jobs changed. */
  readonly onChange: (ids: ReadonlySet<string>) => void;
}

const outcomeOf = (final: FinalRecord): DependencyOutcome =>
  final.state === 'done' ? { _tag: 'done', at: final.at } : { _tag: 'cancelled' };

/** State: the index, and the final records that are still to be read. */
export class Pipelines {
  private readonly index = new PipelineIndex(STAGE_TRANSITION_MS);
  /** Jobs that are over, and that jobs of this controller's shards depend on. */
  private readonly unreadFinalRecords = new Set<string>();
  /** Resumes `run`; null: it does not wait. */
  private wake: (() => void) | null = null;
  /** Teams of the jobs with dependencies. */
  private readonly teamsOfDependants = new Map<string, string>();

  constructor(private readonly input: PipelinesDependencies) {}

  readiness(id: string): Readiness {
    return this.index.readiness(id);
  }

  /** Null: the job is over, or not known whole. */
  effectivePriority(id: string): EffectivePriority | null {
    return this.index.effectivePriority(id);
  }

  /** A job's record, new or changed; `dependsOn` is null while parts of the list have not been seen yet. */
  onJob(id: string, { spec, at, cancelled }: JobRecord, dependsOn: readonly string[] | null): void {
    // A job that is not known whole counts as waiting: it is not in the index.
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

  /** A job's record is gone: the job is over. */
  onJobGone(id: string): void {
    this.teamsOfDependants.delete(id);
    const dependants = [...this.index.dependantsOf(id)];
    this.notify(this.index.remove(id));
    for (const dependant of dependants) this.resolveDependencies(dependant);
  }

  /** A shard was taken over: how all dependencies of its jobs ended is looked up. */
  resolveAllDependencies(): void {
    for (const id of this.teamsOfDependants.keys()) this.resolveDependencies(id);
  }

  /** A final record is durable. */
  onFinalRecord(id: string, final: FinalRecord): void {
    this.input.finalRecords.put(id, final);
    this.unreadFinalRecords.delete(id);
    this.notify(this.index.setOutcome(id, outcomeOf(final)));
  }

  /** Reads how the dependencies of a job ended, for a user who asks; false: some could not be read. */
  resolve(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const reads = yield* Effect.forEach(this.dependenciesOver(id), (dependency) => this.read(dependency), {
        concurrency: MAX_CONCURRENT_FINAL_RECORD_READS,
      });
      return reads.every(Boolean);
    });
  }

  /** Reads final records as they are asked for, a few at a time. */
  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      if (this.unreadFinalRecords.size === 0) yield* this.untilAsked;
      this.wake = null;
      const ids = [...this.unreadFinalRecords].slice(0, MAX_CONCURRENT_FINAL_RECORD_READS);
      yield* Effect.forEach(ids, (id) => this.read(id), { concurrency: 'unbounded' });
      // What could not be read goes behind the others.
      for (const id of ids) if (this.unreadFinalRecords.delete(id)) this.unreadFinalRecords.add(id);
      yield* Effect.sleep(FINAL_RECORD_CHECK_INTERVAL_MS);
    }
  });

  private readonly untilAsked: Effect.Effect<void> = Effect.promise(
    () =>
      new Promise<void>((resolve) => {
        this.wake = resolve;
        // One may have been asked for before this fiber got here.
        if (this.unreadFinalRecords.size > 0) resolve();
      }),
  );

  private notify(ids: ReadonlySet<string>): void {
    if (ids.size > 0) this.input.onChange(ids);
  }

  /** Looks up how the dependencies of this job ended, as far as they are over. */
  private resolveDependencies(id: string): void {
    const team = this.teamsOfDependants.get(id);
    if (team === undefined) return;
    for (const dependency of [...this.index.unresolvedDependencies(id)]) {
      const final = this.input.finalRecords.get(dependency);
      if (final) this.onFinalRecord(dependency, final);
      else if (this.isOver(dependency) && this.input.ownsTeam(team)) this.queueRead(dependency);
    }
  }

  private isOver(id: string): boolean {
    return !this.index.has(id) && !this.input.cache.get(jobKey(id));
  }

  private queueRead(id: string): void {
    this.unreadFinalRecords.add(id);
    this.wake?.();
  }

  /**
   * Jobs that are over and that the job depends on, directly or through jobs that wait themselves: the
   * holders of those may not know yet how these ended.
   */
  private dependenciesOver(id: string): readonly string[] {
    // Grows while it is walked.
    const waiting = new Set([id]);
    const over: string[] = [];
    for (const job of waiting) {
      for (const dependency of this.index.unresolvedDependencies(job)) {
        if (this.index.has(dependency)) waiting.add(dependency);
        else if (this.isOver(dependency)) over.push(dependency);
      }
    }
    return over;
  }

  /** Reads one final record; false: the store did not answer. */
  private read(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const read = yield* this.input.finalRecords.read(id);
      if (read._tag === 'found') this.onFinalRecord(id, read.final);
      // No job depends on one that was never recorded, and the final record replaces the job's record.
      else if (read._tag === 'absent') log.error({ event: 'pipeline.final_record_missing', job: id });
      return read._tag !== 'failed';
    });
  }
}
