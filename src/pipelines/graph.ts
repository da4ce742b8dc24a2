import type { Priority } from '../jobs/model.js';

/**
 * Which jobs wait for which, kept as an index over all jobs that are not over. A job names only jobs that
 * were accepted before it and never changes what it names, so there are no cycles; still every walk here
 * visits a job once.
 */
export interface Member {
  readonly id: string;
  readonly follows: readonly string[];
  readonly priority: Priority;
  /** ms since the epoch, when it should be done; null: whenever. */
  readonly dueAt: number | null;
  readonly estimateMs: number;
  readonly cancelled: boolean;
}

/** Where a job stands with those that it follows. */
export type Readiness =
  /** Some are not known to be done. */
  | { readonly _tag: 'waiting' }
  /**
   * All have their durable final record `done`, the last since then (ms since the epoch; 0: it follows none).
   */
  | { readonly _tag: 'ready'; readonly since: number }
  /** One is cancelled: it never runs. */
  | { readonly _tag: 'doomed' };

/** What a job is worth for the jobs that need it. */
export interface EffectivePriority {
  readonly priority: Priority;
  /** ms since the epoch: when it should be done at the latest for all that comes after to be in time. */
  readonly dueAt: number | null;
}

/** What became of a job that a member follows. */
export type Outcome = { readonly _tag: 'done'; readonly at: number } | { readonly _tag: 'cancelled' };

interface Node {
  member: Member;
  /** Followed jobs that are not known to be done. */
  readonly open: Set<string>;
  /** When the last of the others was done. */
  since: number;
  doomed: boolean;
  effectivePriority: EffectivePriority;
}

const earliest = (a: number | null, b: number | null): number | null =>
  a === null ? b : b === null ? a : Math.min(a, b);

/** The index of which job follows which, with readiness and standing of each. */
export class PipelineIndex {
  private readonly nodes = new Map<string, Node>();
  /** Who follows a job; also of jobs that are over, as long as somebody does. */
  private readonly dependants = new Map<string, Set<string>>();
  private readonly outcomes = new Map<string, Outcome>();

  /** `stageMs`: what lies between the end of one stage and the start of the next, images included. */
  constructor(private readonly stageMs: number) {}

  has(id: string): boolean {
    return this.nodes.has(id);
  }
  /** Does anybody follow it? */
  needed(id: string): boolean {
    return this.dependants.has(id);
  }
  dependantsOf(id: string): Iterable<string> {
    return this.dependants.get(id) ?? [];
  }
  /** Followed jobs that are not known to be done, for looking them up. */
  openOf(id: string): Iterable<string> {
    return this.nodes.get(id)?.open ?? [];
  }

  readiness(id: string): Readiness {
    const node = this.nodes.get(id);
    if (!node) return { _tag: 'waiting' };
    if (node.doomed) return { _tag: 'doomed' };
    return node.open.size > 0 ? { _tag: 'waiting' } : { _tag: 'ready', since: node.since };
  }

  effectivePriority(id: string): EffectivePriority | null {
    return this.nodes.get(id)?.effectivePriority ?? null;
  }

  /** A job's record, new or changed. Returns the jobs whose readiness or standing changed. */
  put(member: Member): ReadonlySet<string> {
    const changed = new Set<string>();
    const known = this.nodes.get(member.id);
    if (known) known.member = member;
    else {
      const node: Node = {
        member,
        open: new Set(),
        since: 0,
        doomed: false,
        effectivePriority: { priority: member.priority, dueAt: member.dueAt },
      };
      this.nodes.set(member.id, node);
      changed.add(member.id);
      for (const dep of member.follows) {
        let list = this.dependants.get(dep);
        if (!list) this.dependants.set(dep, (list = new Set()));
        list.add(member.id);
        node.open.add(dep);
        const outcome = this.outcomes.get(dep);
        if (outcome) this.apply(dep, outcome, node);
        else if (this.isDoomed(dep)) node.doomed = true;
      }
    }
    const node = this.nodes.get(member.id);
    if (node && (node.doomed || member.cancelled)) this.doomAfter(member.id, changed);
    this.restand([member.id, ...member.follows], changed);
    return changed;
  }

  /** It is over; what became of it may be known only later. */
  remove(id: string): ReadonlySet<string> {
    const changed = new Set<string>();
    const node = this.nodes.get(id);
    if (!node) return changed;
    this.nodes.delete(id);
    for (const dep of node.member.follows) {
      const list = this.dependants.get(dep);
      list?.delete(id);
      if (list?.size !== 0) continue;
      this.dependants.delete(dep);
      this.outcomes.delete(dep);
    }
    // What was cancelled stays so, whoever asks later.
    if (this.dependants.has(id) && (node.doomed || node.member.cancelled))
      this.outcomes.set(id, { _tag: 'cancelled' });
    this.restand(node.member.follows, changed);
    return changed;
  }

  /** What became of a job is durable. */
  settle(id: string, outcome: Outcome): ReadonlySet<string> {
    const changed = new Set<string>();
    if (!this.dependants.has(id)) return changed;
    this.outcomes.set(id, outcome);
    for (const dependant of this.dependants.get(id) ?? []) {
      const node = this.nodes.get(dependant);
      if (!node) continue;
      changed.add(dependant);
      this.apply(id, outcome, node);
      if (node.doomed) this.doomAfter(dependant, changed);
    }
    return changed;
  }

  private apply(dep: string, outcome: Outcome, node: Node): void {
    if (outcome._tag === 'cancelled') {
      node.doomed = true;
      return;
    }
    node.open.delete(dep);
    node.since = Math.max(node.since, outcome.at);
  }

  private isDoomed(id: string): boolean {
    const node = this.nodes.get(id);
    return node !== undefined && (node.doomed || node.member.cancelled);
  }

  /** All that need a job that is cancelled, directly or through others. */
  private doomAfter(id: string, changed: Set<string>): void {
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      for (const dependant of this.dependants.get(next) ?? []) {
        const node = this.nodes.get(dependant);
        if (!node || node.doomed) continue;
        node.doomed = true;
        changed.add(dependant);
        stack.push(dependant);
      }
    }
  }

  private effectivePriorityOf(node: Node): EffectivePriority {
    let { priority, dueAt } = node.member;
    for (const id of this.dependants.get(node.member.id) ?? []) {
      const after = this.nodes.get(id);
      if (!after || after.doomed || after.member.cancelled) continue;
      if (after.effectivePriority.priority > priority) priority = after.effectivePriority.priority;
      const due = after.effectivePriority.dueAt;
      dueAt = earliest(dueAt, due === null ? null : due - after.member.estimateMs - this.stageMs);
    }
    return { priority, dueAt };
  }

  /** Works out these anew, and what comes before them as far as anything changes. */
  private restand(from: Iterable<string>, changed: Set<string>): void {
    const queue = [...from];
    for (let id = queue.shift(); id !== undefined; id = queue.shift()) {
      const node = this.nodes.get(id);
      if (!node) continue;
      const effectivePriority = this.effectivePriorityOf(node);
      if (
        effectivePriority.priority === node.effectivePriority.priority &&
        effectivePriority.dueAt === node.effectivePriority.dueAt
      )
        continue;
      node.effectivePriority = effectivePriority;
      changed.add(id);
      queue.push(...node.member.follows);
    }
  }
}
