/**
 * An index of the dependencies between all jobs that have not ended, with the readiness and effective
 * priority of each job. A job depends only on jobs that were accepted before it, and its dependencies never
 * change, so there are no cycles and every traversal ends. No I/O: `src/pipelines/pipelines.ts` adds jobs and
 * outcomes to the index.
 */
import type { Priority } from '../jobs/model.js';

/** The fields of a job that the index needs. */
export interface PipelineJob {
  readonly id: string;
  readonly dependsOn: readonly string[];
  readonly priority: Priority;
  /** When the job should be done, in ms since the epoch; null: no deadline. */
  readonly dueAt: number | null;
  readonly estimateMs: number;
  readonly cancelled: boolean;
}

/** Whether the jobs that a job depends on are done. */
export type Readiness =
  /** Some dependencies are not known to be done. */
  | { readonly _tag: 'waiting' }
  /**
   * All dependencies have a durable final record `done`. `since`: when the last of them was done, in ms since
   * the epoch; 0: the job has no dependencies.
   */
  | { readonly _tag: 'ready'; readonly since: number }
  /** A dependency, direct or through others, is cancelled: the job never runs. */
  | { readonly _tag: 'dependencyCancelled' };

/**
 * Priority and deadline of a job: the highest priority and the earliest deadline among its own and those that
 * the jobs that depend on it need.
 */
export interface EffectivePriority {
  readonly priority: Priority;
  /**
   * When the job must be done so that all its dependants can meet their deadlines, in ms since the epoch;
   * null: no deadline.
   */
  readonly dueAt: number | null;
}

/** How a job that others depend on ended; `at`: when it was done, in ms since the epoch. */
export type DependencyOutcome =
  { readonly _tag: 'done'; readonly at: number } | { readonly _tag: 'cancelled' };

interface IndexedJob {
  job: PipelineJob;
  /** Dependencies that are not known to be done. */
  readonly unresolved: Set<string>;
  /** ms since the epoch: the latest time at which a dependency was done; 0: none is known to be done. */
  lastDoneAt: number;
  /** Whether a dependency, direct or through others, is cancelled. */
  dependencyCancelled: boolean;
  effectivePriority: EffectivePriority;
}

const newIndexedJob = (job: PipelineJob): IndexedJob => ({
  job,
  unresolved: new Set(),
  lastDoneAt: 0,
  dependencyCancelled: false,
  effectivePriority: { priority: job.priority, dueAt: job.dueAt },
});

const earliest = (a: number | null, b: number | null): number | null => {
  if (a === null) return b;
  return b === null ? a : Math.min(a, b);
};

/** Records the outcome of a dependency in a job that depends on it. */
const applyOutcome = (dependency: string, outcome: DependencyOutcome, dependant: IndexedJob): void => {
  if (outcome._tag === 'cancelled') {
    dependant.dependencyCancelled = true;
    return;
  }
  dependant.unresolved.delete(dependency);
  dependant.lastDoneAt = Math.max(dependant.lastDoneAt, outcome.at);
};

/** State: the jobs that have not ended, their dependants, and the outcomes of jobs that others depend on. */
export class PipelineIndex {
  private readonly jobs = new Map<string, IndexedJob>();
  /** By job: the ids of its dependants. A job that has ended keeps its entry as long as it has dependants. */
  private readonly dependants = new Map<string, Set<string>>();
  private readonly outcomes = new Map<string, DependencyOutcome>();

  /**
   * `stageTransitionMs`: ms between the end of one stage and the start of the next, including the fetch of
   * images.
   */
  constructor(private readonly stageTransitionMs: number) {}

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
    if (indexed.dependencyCancelled) return { _tag: 'dependencyCancelled' };
    return indexed.unresolved.size > 0 ? { _tag: 'waiting' } : { _tag: 'ready', since: indexed.lastDoneAt };
  }

  /** The effective priority of a job; null: the job is not in the index. */
  effectivePriority(id: string): EffectivePriority | null {
    return this.jobs.get(id)?.effectivePriority ?? null;
  }

  /** Adds or updates a job. Returns the jobs whose readiness or effective priority changed. */
  put(job: PipelineJob): ReadonlySet<string> {
    const changed = new Set<string>();
    let indexed = this.jobs.get(job.id);
    if (indexed) indexed.job = job;
    else {
      indexed = this.add(job);
      changed.add(job.id);
    }
    if (indexed.dependencyCancelled || job.cancelled) this.propagateCancellation(job.id, changed);
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
      else if (this.neverRuns(dependency)) indexed.dependencyCancelled = true;
    }
    return indexed;
  }

  private addDependant(dependency: string, dependant: string): void {
    let dependants = this.dependants.get(dependency);
    if (!dependants) this.dependants.set(dependency, (dependants = new Set()));
    dependants.add(dependant);
  }

  /**
   * Removes a job that has ended; its outcome may become known only later. Returns the jobs whose effective
   * priority changed.
   */
  remove(id: string): ReadonlySet<string> {
    const changed = new Set<string>();
    const indexed = this.jobs.get(id);
    if (!indexed) return changed;
    this.jobs.delete(id);
    for (const dependency of indexed.job.dependsOn) this.removeDependant(dependency, id);
    // Keeps the cancellation for jobs that are added later and depend on the removed job.
    if (this.dependants.has(id) && (indexed.dependencyCancelled || indexed.job.cancelled))
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

  /** Records the durable outcome of a job. Returns the jobs whose readiness may have changed. */
  setOutcome(id: string, outcome: DependencyOutcome): ReadonlySet<string> {
    const changed = new Set<string>();
    if (!this.dependants.has(id)) return changed;
    this.outcomes.set(id, outcome);
    for (const dependant of this.dependantsOf(id)) {
      const indexed = this.jobs.get(dependant);
      if (!indexed) continue;
      changed.add(dependant);
      applyOutcome(id, outcome, indexed);
      if (indexed.dependencyCancelled) this.propagateCancellation(dependant, changed);
    }
    return changed;
  }

  private neverRuns(id: string): boolean {
    const indexed = this.jobs.get(id);
    return indexed !== undefined && (indexed.dependencyCancelled || indexed.job.cancelled);
  }

  /** Marks all jobs that depend on a cancelled job, directly or through others. */
  private propagateCancellation(id: string, changed: Set<string>): void {
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      for (const dependant of this.dependantsOf(next)) {
        const indexed = this.jobs.get(dependant);
        if (!indexed || indexed.dependencyCancelled) continue;
        indexed.dependencyCancelled = true;
        changed.add(dependant);
        stack.push(dependant);
      }
    }
  }

  private effectivePriorityOf({ job }: IndexedJob): EffectivePriority {
    let { priority, dueAt } = job;
    for (const id of this.dependantsOf(job.id)) {
      const dependant = this.jobs.get(id);
      if (!dependant || dependant.dependencyCancelled || dependant.job.cancelled) continue;
      const inherited = dependant.effectivePriority;
      if (inherited.priority > priority) priority = inherited.priority;
      if (inherited.dueAt !== null)
        dueAt = earliest(dueAt, inherited.dueAt - dependant.job.estimateMs - this.stageTransitionMs);
    }
    return { priority, dueAt };
  }

  /**
   * Recomputes the effective priorities of these jobs, and those of the dependencies of each job whose
   * priority or deadline changed.
   */
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
