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
import { PipelineIndex, type Outcome, type Readiness, type EffectivePriority } from './graph.js';

/** What the view of the pipelines needs of the rest of the controller. */
export interface PipelinesInput {
  readonly cache: Pick<WatchCache, 'get'>;
  readonly finalRecords: FinalRecordCache;
  /** Does this node decide about the job: is it to know at once what became of those that it follows? */
  readonly ownsTeam: (team: string) => boolean;
  /** The readiness or standing of these jobs changed. */
  readonly changed: (ids: ReadonlySet<string>) => void;
}

const outcomeOf = (final: FinalRecord): Outcome =>
  final.state === 'done' ? { _tag: 'done', at: final.at } : { _tag: 'cancelled' };

/**
 * This node's view of all pipelines, from the shared keys and from final records. That a job is done is taken
 * only from its durable final record, so nothing that comes late can start a job too early.
 */
export class Pipelines {
  private readonly index = new PipelineIndex(STAGE_TRANSITION_MS);
  /** Jobs that are over, and followed by jobs of ours, whose final records are still to be read. */
  private readonly toRead = new Set<string>();
  private wake: (() => void) | null = null;
  private readonly teams = new Map<string, string>();

  constructor(private readonly input: PipelinesInput) {}

  readiness(id: string): Readiness {
    return this.index.readiness(id);
  }
  effectivePriority(id: string): EffectivePriority | null {
    return this.index.effectivePriority(id);
  }

  private tell(ids: ReadonlySet<string>): void {
    if (ids.size > 0) this.input.changed(ids);
  }

  /** A job's record; `follows` is null while parts of the list have not been seen yet. */
  onJob(id: string, record: JobRecord, follows: readonly string[] | null): void {
    // One that nobody can see whole yet counts as waiting: it is not in the index.
    if (follows === null) return;
    const { spec } = record;
    if (follows.length > 0) this.teams.set(id, spec.team);
    this.tell(
      this.index.put({
        id,
        follows,
        priority: spec.priority,
        dueAt: spec.deadlineS === null ? null : record.at + spec.deadlineS * 1000,
        estimateMs: spec.estimateS * 1000,
        cancelled: record.cancelled,
      }),
    );
    this.look(id);
  }

  onJobGone(id: string): void {
    this.teams.delete(id);
    const needed = [...this.index.dependantsOf(id)];
    this.tell(this.index.remove(id));
    for (const dependant of needed) this.look(dependant);
  }

  /** Looks up what became of the jobs that this one follows, as far as they are over. */
  private look(id: string): void {
    const team = this.teams.get(id);
    if (team === undefined) return;
    for (const dep of [...this.index.openOf(id)]) {
      const final = this.input.finalRecords.get(dep);
      if (final) this.settle(dep, final);
      else if (!this.index.has(dep) && !this.input.cache.get(jobKey(dep)) && this.input.ownsTeam(team))
        this.want(dep);
    }
  }

  private want(id: string): void {
    this.toRead.add(id);
    this.wake?.();
  }

  /** A share of this node's is new: all that its jobs wait for is looked up. */
  reevaluateAll(): void {
    for (const id of this.teams.keys()) this.look(id);
  }

  /** A final record is durable. */
  settle(id: string, final: FinalRecord): void {
    this.input.finalRecords.remember(id, final);
    this.toRead.delete(id);
    this.tell(this.index.settle(id, outcomeOf(final)));
  }

  /**
   * Reads what became of the jobs that this one follows, for a user who asks. False: it could not be read.
   */
  resolve(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      // Also those before the ones that still wait themselves: their holders may not have heard yet.
      const before = new Set([id]);
      const over: string[] = [];
      for (const job of before) {
        for (const dep of this.index.openOf(job)) {
          if (this.index.has(dep)) before.add(dep);
          else if (!this.input.cache.get(jobKey(dep))) over.push(dep);
        }
      }
      const reads = yield* Effect.forEach(over, (dep) => this.read(dep), {
        concurrency: MAX_CONCURRENT_FINAL_RECORD_READS,
      });
      return reads.every(Boolean);
    });
  }

  private read(id: string): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const read = yield* this.input.finalRecords.read(id);
      if (read._tag === 'found') this.settle(id, read.final);
      // Its record was there, or it would not be followed; so its final record is.
      else if (read._tag === 'absent') log.error({ event: 'pipeline.no_final', job: id });
      return read._tag !== 'failed';
    });
  }

  readonly run: Effect.Effect<never> = Effect.gen({ self: this }, function* () {
    for (;;) {
      if (this.toRead.size === 0)
        yield* Effect.promise(
          () =>
            new Promise<void>((resolve) => {
              this.wake = resolve;
              // Something may have come before this fiber got here.
              if (this.toRead.size > 0) resolve();
            }),
        );
      this.wake = null;
      const ids = [...this.toRead].slice(0, MAX_CONCURRENT_FINAL_RECORD_READS);
      yield* Effect.forEach(ids, (id) => this.read(id), { concurrency: 'unbounded' });
      // What could not be read goes behind the others.
      for (const id of ids) if (this.toRead.delete(id)) this.toRead.add(id);
      yield* Effect.sleep(FINAL_RECORD_CHECK_INTERVAL_MS);
    }
  });
}
