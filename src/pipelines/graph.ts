/**
 * Which jobs depend on which, as an index over all jobs that are not over, with readiness and effective
 * priority of each. A job names only jobs that were accepted before it and never changes what it names, so
 * there are no cycles; still every walk here visits a job once. No I/O: `src/pipelines/pipelines.ts` feeds
 * the index.
 */
import type { Priority } from '../jobs/model.js';

/** A job as the index needs it. */
export interface PipelineJob {
  readonly id: string;
  readonly dependsOn: readonly string[];
  readonly priority: Priority;
  /** When it should be done, ms since the epoch; null: no deadline. */
  readonly dueAt: number | null;
  readonly estimateMs: number;
  readonly cancelled: boolean;
}

/** How far the jobs that a job depends on are. */
export type Readiness =
  /** Some are not known to be done. */
  | { readonly _tag: 'waiting' }
  /**
   * All have a durable final record `done`, the last since then (ms since the epoch; 0: it depends on none).
   */
  | { readonly _tag: 'ready'; readonly since: number }
  /** One is cancelled: the job never runs. */
  | { readonly _tag: 'doomed' };

/** Priority and deadline of a job, with regard to the jobs that depend on it. */
export interface EffectivePriority {
  readonly priority: Priority;
  /** When it must be done for all dependants to be in time, ms since the epoch; null: no deadline. */
  readonly dueAt: number | null;
}

/** How a job ended that others depend on; `at` in ms since the epoch. */
export type DependencyOutcome =
  { readonly _tag: 'done'; readonly at: number } | { readonly _tag: 'cancelled' };

interface IndexedJob {
  job: PipelineJob;
  /** Dependencies that are not known to be done. */
  readonly unresolved: Set<string>;
  /** When the last of the others was done, ms since the epoch. */
  lastDoneAt: number;
  doomed: boolean;
  effectivePriority: EffectivePriority;
}

const newIndexedJob = (job: PipelineJob): IndexedJob => ({
  job,
  unresolved: new Set(),
  lastDoneAt: 0,
  doomed: false,
  effectivePriority: { priority: job.priority, dueAt: job.dueAt },
});

const earliest = (a: number | null, b: number | null): number | null => {
  if (a === null) return b;
  return b === null ? a : Math.min(a, b);
};

/** Notes the outcome of a dependency. */
const applyOutcome = (dependency: string, outcome: DependencyOutcome, dependant: IndexedJob): void => {
  if (outcome._tag === 'cancelled') {
    dependant.doomed = true;
    return;
  }
  dependant.unresolved.delete(dependency);
  dependant.lastDoneAt = Math.max(dependant.lastDoneAt, outcome.at);
};

/** State: the jobs that are not over, who depends on whom, and outcomes of jobs that others depend on. */
export class PipelineIndex {
  private readonly jobs = new Map<string, IndexedJob>();
  /** By job, also of jobs that are over, as long as there are any. */
  private readonly dependants = new Map<string, Set<string>>();
  private readonly outcomes = new Map<string, DependencyOutcome>();

  /** `stageMs`: time between the end of one stage and the start of the next, images included. */
  constructor(private readonly stageMs: number) {}

  has(id: string): boolean {
    return this.jobs.has(id);
  }

  dependantsOf(id: string): Iterable<string> {
    return this.dependants.get(id) ?? [];
  }

  /** Dependencies of the job that are not known to be done. */
  unresolvedDependencies(id: string): Iterable<string> {
    return this.jobs.get(id)?.unresolved ?? [];
  }

  readiness(id: string): Readiness {
    const indexed = this.jobs.get(id);
    if (!indexed) return { _tag: 'waiting' };
    if (indexed.doomed) return { _tag: 'doomed' };
    return indexed.unresolved.size > 0 ? { _tag: 'waiting' } : { _tag: 'ready', since: indexed.lastDoneAt };
  }

  /** Null: the job is not in the index. */
  effectivePriority(id: string): EffectivePriority | null {
    return this.jobs.get(id)?.effectivePriority ?? null;
  }

  /** Takes in a job, new or changed. Returns the jobs whose readiness or effective priority changed. */
  put(job: PipelineJob): ReadonlySet<string> {
    const changed = new Set<string>();
    let indexed = this.jobs.get(job.id);
    if (indexed) indexed.job = job;
    else {
      indexed = this.add(job);
      changed.add(job.id);
    }
    if (indexed.doomed || job.cancelled) this.doomDependants(job.id, changed);
    this.updateEffectivePriorities([job.id, ...job.dependsOn], changed);
    return changed;
  }

  private add(job: PipelineJob): IndexedJob {
    const indexed = newIndexedJob(job);
    this.jobs.set(job.id, indexed);
    for (const dependency of job.dependsOn) {
      this.addDependant(dependency, job.id);
      indexed.unresolved.add(dependency);
      const outcome = this.outcomes.get(dependency);
      if (outcome) applyOutcome(dependency, outcome, indexed);
      else if (this.neverRuns(dependency)) indexed.doomed = true;
    }
    return indexed;
  }

  private addDependant(dependency: string, dependant: string): void {
    let dependants = this.dependants.get(dependency);
    if (!dependants) this.dependants.set(dependency, (dependants = new Set()));
    dependants.add(dependant);
  }

  /** Takes out a job that is over; how it ended may be known only later. Returns the jobs that changed. */
  remove(id: string): ReadonlySet<string> {
    const changed = new Set<string>();
    const indexed = this.jobs.get(id);
    if (!indexed) return changed;
    this.jobs.delete(id);
    for (const dependency of indexed.job.dependsOn) this.removeDependant(dependency, id);
    // What was cancelled stays so, whoever depends on it later.
    if (this.dependants.has(id) && (indexed.doomed || indexed.job.cancelled))
      this.outcomes.set(id, { _tag: 'cancelled' });
    this.updateEffectivePriorities(indexed.job.dependsOn, changed);
    return changed;
  }

  private removeDependant(dependency: string, dependant: string): void {
    const dependants = this.dependants.get(dependency);
    dependants?.delete(dependant);
    if (dependants?.size !== 0) return;
    this.dependants.delete(dependency);
    this.outcomes.delete(dependency);
  }

  /** The outcome of a job is durable. Returns the jobs that changed. */
  setOutcome(id: string, outcome: DependencyOutcome): ReadonlySet<string> {
    const changed = new Set<string>();
    if (!this.dependants.has(id)) return changed;
    this.outcomes.set(id, outcome);
    for (const dependant of this.dependantsOf(id)) {
      const indexed = this.jobs.get(dependant);
      if (!indexed) continue;
      changed.add(dependant);
      applyOutcome(id, outcome, indexed);
      if (indexed.doomed) this.doomDependants(dependant, changed);
    }
    return changed;
  }

  private neverRuns(id: string): boolean {
    const indexed = this.jobs.get(id);
    return indexed !== undefined && (indexed.doomed || indexed.job.cancelled);
  }

  /** Dooms all jobs that depend on one that is cancelled, directly or through others. */
  private doomDependants(id: string, changed: Set<string>): void {
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      for (const dependant of this.dependantsOf(next)) {
        const indexed = this.jobs.get(dependant);
        if (!indexed || indexed.doomed) continue;
        indexed.doomed = true;
        changed.add(dependant);
        stack.push(dependant);
      }
    }
  }

  private effectivePriorityOf({ job }: IndexedJob): EffectivePriority {
    let { priority, dueAt } = job;
    for (const id of this.dependantsOf(job.id)) {
      const dependant = this.jobs.get(id);
      if (!dependant || dependant.doomed || dependant.job.cancelled) continue;
      const inherited = dependant.effectivePriority;
      if (inherited.priority > priority) priority = inherited.priority;
      if (inherited.dueAt !== null)
        dueAt = earliest(dueAt, inherited.dueAt - dependant.job.estimateMs - this.stageMs);
    }
    return { priority, dueAt };
  }

  /** Works out these jobs anew, and their dependencies as far as anything changes. */
  private updateEffectivePriorities(ids: Iterable<string>, changed: Set<string>): void {
    const queue = [...ids];
    for (let id = queue.shift(); id !== undefined; id = queue.shift()) {
      const indexed = this.jobs.get(id);
      if (!indexed) continue;
      const before = indexed.effectivePriority;
      const after = this.effectivePriorityOf(indexed);
      if (after.priority === before.priority && after.dueAt === before.dueAt) continue;
      indexed.effectivePriority = after;
      changed.add(id);
      queue.push(...indexed.job.dependsOn);
    }
  }
}
