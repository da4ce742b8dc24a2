import type { Assignment } from './bin-packing.js';
import { chunkOf } from './run-records.js';
import type { ShardState } from './shard-state.js';
import type { Binding, ShardJob } from './shard-model.js';
import type { WorkerSessions } from './worker-sessions.js';
import type { RunWrite, RunWriter } from './run-writer.js';

/** What the binder needs of its share. */
export interface BinderInput {
  readonly shardState: ShardState;
  readonly runs: RunWriter;
  readonly sessions: WorkerSessions;
  /** The share's claim is no longer held by this process. */
  readonly lost: () => boolean;
  /** Asks for another placement round. */
  readonly requestRound: () => void;
}

/** Makes the assignments of a round durable and starts the tasks once they are. */
export class Binder {
  constructor(private readonly input: BinderInput) {}

  bindAll(assignments: readonly Assignment[]): Promise<unknown> {
    const byJob = new Map<ShardJob, Binding[]>();
    for (const put of assignments) {
      const job = this.input.shardState.jobs.get(put.job);
      const machine = this.input.shardState.machines.get(put.machine);
      if (!job || !machine) continue;
      let list = byJob.get(job);
      if (!list) {
        job.attempt += 1;
        byJob.set(job, (list = []));
      }
      list.push(this.input.shardState.bind(job, put.index, job.attempt, machine, { _tag: 'binding' }));
    }
    const commits: Promise<void>[] = [];
    const arrays: { write: RunWrite; bindings: readonly Binding[] }[] = [];
    for (const [job, bindings] of byJob) {
      const chunks = [...new Set(bindings.map((binding) => chunkOf(binding.index)))];
      const entries = chunks.map((chunk) => ({
        write: this.input.runs.runWrite(job, chunk),
        bindings: bindings.filter((binding) => chunkOf(binding.index) === chunk),
      }));
      // A gang's bind is one conditional write.
      if (job.spec.kind === 'gang') commits.push(this.commitBinds(entries, job));
      else arrays.push(...entries);
    }
    for (const batch of this.input.runs.batches(arrays)) commits.push(this.commitBinds(batch));
    return Promise.all(commits);
  }

  private async commitBinds(
    entries: readonly { write: RunWrite; bindings: readonly Binding[] }[],
    gang: ShardJob | null = null,
  ): Promise<void> {
    const writes = entries.map((entry) => entry.write);
    const committed = gang
      ? await this.input.runs.commitGang(gang, writes, 'bind')
      : await this.input.runs.commitRuns(writes, 'bind');
    const bindings = entries.flatMap((entry) => entry.bindings);
    for (const binding of bindings) {
      if (committed) this.input.shardState.apply(binding, { _tag: 'durable' });
      else this.input.shardState.unbind(binding);
    }
    if (committed && !this.input.lost()) this.input.sessions.sendRuns(bindings);
    this.input.requestRound();
  }
}
