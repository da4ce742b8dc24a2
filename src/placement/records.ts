import { CHUNK_TASKS } from '../constants.js';
import { bindingKey, type ShareJob } from './state.js';

/** The durable record of a run of tasks: which are done, which are bound where, the highest attempt used. */
export interface RunRecord {
  readonly done: readonly number[];
  readonly bindings: readonly {
    readonly index: number;
    readonly machine: string;
    readonly attempt: number;
  }[];
  readonly attempt: number;
}

const firstOf = (chunk: number): number => chunk * CHUNK_TASKS;
export const chunkOf = (index: number): number => Math.floor(index / CHUNK_TASKS);

export const runRecord = (job: ShareJob, chunk: number): RunRecord => {
  const first = firstOf(chunk);
  const done: number[] = [];
  const bindings: { index: number; machine: string; attempt: number }[] = [];
  for (let index = first; index < Math.min(first + CHUNK_TASKS, job.spec.tasks); index += 1) {
    if (job.done.has(index)) done.push(index);
    const binding = job.bindings.get(index);
    if (binding && binding.phase._tag !== 'gone')
      bindings.push({ index, machine: binding.machine, attempt: binding.attempt });
  }
  return { done, bindings, attempt: job.attempt };
};

/** Done tasks as a hexadecimal bit field: 32 characters for a whole record. */
const packBits = (indexes: readonly number[], first: number): string => {
  let bits = 0n;
  for (const index of indexes) bits |= 1n << BigInt(index - first);
  return bits.toString(16);
};
const unpackBits = (text: string, first: number): number[] => {
  const bits = BigInt(`0x${text}`);
  const indexes: number[] = [];
  for (let k = 0; k < CHUNK_TASKS; k += 1) if ((bits >> BigInt(k)) & 1n) indexes.push(first + k);
  return indexes;
};

export const writeRunRecord = (record: RunRecord, chunk: number): unknown => ({
  d: packBits(record.done, firstOf(chunk)),
  b: record.bindings.map((binding) => [binding.index, binding.machine, binding.attempt]),
  n: record.attempt,
});

export const readRunRecord = (data: unknown, chunk: number): RunRecord => {
  const raw = data as { d: string; b: [number, string, number][]; n: number };
  return {
    done: unpackBits(raw.d, firstOf(chunk)),
    bindings: raw.b.map(([index, machine, attempt]) => ({ index, machine, attempt })),
    attempt: raw.n,
  };
};

export const durableKeys = (job: string, record: RunRecord): ReadonlySet<string> =>
  new Set(record.bindings.map((binding) => bindingKey(job, binding.index, binding.attempt)));

export const sameRecord = (a: RunRecord, b: RunRecord): boolean => JSON.stringify(a) === JSON.stringify(b);
