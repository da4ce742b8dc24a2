/**
 * Makes the assignments of a round durable, and then starts the tasks. No state of its own: the bindings
 * belong to `ShardState`. `Shard` calls it in each round.
 */
import type { Assignment } from './placement-model.js';
import type { DirectCommands } from './direct-commands.js';
import type { RoundTrigger, StageQueries } from './ports.js';
import { chunkOf } from './run-records.js';
import type { RunWrite, RunWriter } from './run-writer.js';
import type { Binding, ShardJob } from './shard-model.js';
import type { ShardState } from './shard-state.js';

/** What the binder needs of its shard. */
export interface BinderDependencies extends Pick<StageQueries, 'isLost'>, RoundTrigger {
  readonly shardState: ShardState;
  readonly runs: RunWriter;
  readonly directCommands: DirectCommands;
}

/** The write of one run, with the bindings that it makes durable. */
interface BindingWrite {
  readonly write: RunWrite;
  readonly bindings: readonly Binding[];
}

/** Binds tasks to machines. */
export class Binder {
  constructor(private readonly dependencies: BinderDependencies) {}

  /** Binds the tasks. Resolves when each new binding is durable or has been removed. */
  bindAll(assignments: readonly Assignment[]): Promise<unknown> {
    const commits: Promise<void>[] = [];
    const batchableWrites: BindingWrite[] = [];
    for (const [job, bindings] of this.bindInMemory(assignments)) {
      const writes = this.writesOf(job, bindings);
      // A gang is bound as a whole or not at all, so its runs share no batch with those of other jobs.
      if (job.spec.kind === 'gang') commits.push(this.commitGang(job, writes));
      else batchableWrites.push(...writes);
    }
    for (const batch of this.dependencies.runs.batches(batchableWrites))
      commits.push(this.commitBatch(batch));
    return Promise.all(commits);
  }

  private bindInMemory(assignments: readonly Assignment[]): ReadonlyMap<ShardJob, readonly Binding[]> {
    const { shardState } = this.dependencies;
    const byJob = new Map<ShardJob, Binding[]>();
    for (const assignment of assignments) {
      const job = shardState.jobs.get(assignment.job);
      const machine = shardState.machines.get(assignment.machine);
      if (!job || !machine) continue;
      let bindings = byJob.get(job);
      if (!bindings) {
        job.attempt += 1;
        byJob.set(job, (bindings = []));
      }
      bindings.push(shardState.bind(job, assignment.index, job.attempt, machine, { _tag: 'binding' }));
    }
    return byJob;
  }

  private writesOf(job: ShardJob, bindings: readonly Binding[]): readonly BindingWrite[] {
    const chunks = [...new Set(bindings.map((binding) => chunkOf(binding.index)))];
    return chunks.map((chunk) => ({
      write: this.dependencies.runs.runWrite(job, chunk),
      bindings: bindings.filter((binding) => chunkOf(binding.index) === chunk),
    }));
  }

  private async commitGang(job: ShardJob, entries: readonly BindingWrite[]): Promise<void> {
    const writes = entries.map((entry) => entry.write);
    this.onCommitted(entries, await this.dependencies.runs.commitGang(job, writes, 'bind'));
  }

  private async commitBatch(entries: readonly BindingWrite[]): Promise<void> {
    const writes = entries.map((entry) => entry.write);
    this.onCommitted(entries, await this.dependencies.runs.commitRuns(writes, 'bind'));
  }

  private onCommitted(entries: readonly BindingWrite[], committed: boolean): void {
    const { shardState, directCommands, isLost, requestRound } = this.dependencies;
    const bindings = entries.flatMap((entry) => entry.bindings);
    for (const binding of bindings) {
      if (committed) shardState.apply(binding, { _tag: 'durable' });
      else shardState.unbind(binding);
    }
    if (committed && !isLost()) directCommands.sendRuns(bindings);
    requestRound();
  }
}
