import type { Assignment } from './bin-packing.js';
import type { DirectCommands } from './direct-commands.js';
import { chunkOf } from './run-records.js';
import type { ShardState } from './shard-state.js';
import type { Binding, ShardJob } from './shard-model.js';
import type { RunWrite, RunWriter } from './run-writer.js';

/** What the binder needs of its share. */
export interface BinderDependencies {
  readonly shardState: ShardState;
  readonly runs: RunWriter;
  readonly directCommands: DirectCommands;
  /** The share's claim is no longer held by this process. */
  readonly isLost: () => boolean;
  /** Asks for another placement round. */
  readonly requestRound: () => void;
}

/** Makes the assignments of a round durable and starts the tasks once they are. */
export class Binder {
  constructor(private readonly dependencies: BinderDependencies) {}

  bindAll(assignments: readonly Assignment[]): Promise<unknown> {
    const byJob = new Map<ShardJob, Binding[]>();
    for (const put of assignments) {
      const job = this.dependencies.shardState.jobs.get(put.job);
      const machine = this.dependencies.shardState.machines.get(put.machine);
      if (!job || !machine) continue;
      let list = byJob.get(job);
      if (!list) {
        job.attempt += 1;
        byJob.set(job, (list = []));
      }
      list.push(this.dependencies.shardState.bind(job, put.index, job.attempt, machine, { _tag: 'binding' }));
    }
    const commits: Promise<void>[] = [];
    const arrays: { write: RunWrite; bindings: readonly Binding[] }[] = [];
    for (const [job, bindings] of byJob) {
      const chunks = [...new Set(bindings.map((binding) => chunkOf(binding.index)))];
      const entries = chunks.map((chunk) => ({
        write: this.dependencies.runs.runWrite(job, chunk),
        bindings: bindings.filter((binding) => chunkOf(binding.index) === chunk),
      }));
      // A gang's bind is one conditional write.
      if (job.spec.kind === 'gang') commits.push(this.commitBinds(entries, job));
      else arrays.push(...entries);
    }
    for (const batch of this.dependencies.runs.batches(arrays)) commits.push(this.commitBinds(batch));
    return Promise.all(commits);
  }

  private async commitBinds(
    entries: readonly { write: RunWrite; bindings: readonly Binding[] }[],
    gang: ShardJob | null = null,
  ): Promise<void> {
    const writes = entries.map((entry) => entry.write);
    const committed = gang
      ? await this.dependencies.runs.commitGang(gang, writes, 'bind')
      : await this.dependencies.runs.commitRuns(writes, 'bind');
    const bindings = entries.flatMap((entry) => entry.bindings);
    for (const binding of bindings) {
      if (committed) this.dependencies.shardState.apply(binding, { _tag: 'durable' });
      else this.dependencies.shardState.unbind(binding);
    }
    if (committed && !this.dependencies.isLost()) this.dependencies.directCommands.sendRuns(bindings);
    this.dependencies.requestRound();
  }
}
