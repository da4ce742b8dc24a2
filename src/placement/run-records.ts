/**
 * Which tasks of a job are done and which are bound where, in runs of `TASKS_PER_RUN_RECORD` tasks that are
 * stored together. No state; how a run is stored is the matter of `run-codec.ts`.
 */
import { TASKS_PER_RUN_RECORD } from '../constants/key-value-store.js';
import { bindingKey, type ShardJob } from './shard-model.js';

/** A run of tasks: which are done, which are bound where, the highest attempt used. */
export interface RunRecord {
  /** Task indexes, ascending. */
  readonly done: readonly number[];
  readonly bindings: readonly RecordedBinding[];
  readonly attempt: number;
}

/** A task's attempt on a machine. */
export interface RecordedBinding {
  readonly index: number;
  readonly machine: string;
  readonly attempt: number;
}

/** Index of the first task of a run. */
export const firstIndexOf = (chunk: number): number => chunk * TASKS_PER_RUN_RECORD;
/** The number of the run that a task belongs to. */
export const chunkOf = (index: number): number => Math.floor(index / TASKS_PER_RUN_RECORD);

/** A run of a job as it should be stored now. */
export const runRecord = (job: ShardJob, chunk: number): RunRecord => {
  const first = firstIndexOf(chunk);
  const end = Math.min(first + TASKS_PER_RUN_RECORD, job.spec.tasks);
  const done: number[] = [];
  const bindings: RecordedBinding[] = [];
  for (let index = first; index < end; index += 1) {
    if (job.done.has(index)) done.push(index);
    const binding = job.bindings.get(index);
    if (binding && binding.phase._tag !== 'gone')
      bindings.push({ index, machine: binding.machine, attempt: binding.attempt });
  }
  return { done, bindings, attempt: job.attempt };
};

/** The keys of the attempts that a run binds. */
export const durableKeys = (job: string, record: RunRecord): ReadonlySet<string> =>
  new Set(record.bindings.map((binding) => bindingKey(job, binding.index, binding.attempt)));
