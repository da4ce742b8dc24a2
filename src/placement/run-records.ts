/**
 * The runs of a job: which tasks are done, and which are bound to which machine. A run is a chunk of
 * `TASKS_PER_RUN_RECORD` consecutive tasks that are stored together; `chunk` is its number. No state;
 * `run-codec.ts` defines the stored form.
 */
import { TASKS_PER_RUN_RECORD } from '../constants/key-value-store.js';
import { bindingKey, type ShardJob } from './shard-model.js';

/** One run: its done tasks, its bindings, and the highest attempt that the job has used. */
export interface RunRecord {
  /** Task indexes, ascending. */
  readonly done: readonly number[];
  readonly bindings: readonly RecordedBinding[];
  readonly attempt: number;
}

/** A task's attempt that is bound to a machine. */
export interface RecordedBinding {
  readonly index: number;
  readonly machine: string;
  readonly attempt: number;
}

/** Index of the first task of a run. */
export const firstIndexOf = (chunk: number): number => chunk * TASKS_PER_RUN_RECORD;
/** The number of the run that a task belongs to. */
export const chunkOf = (index: number): number => Math.floor(index / TASKS_PER_RUN_RECORD);

/** A run of a job according to the shard's present state. */
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
