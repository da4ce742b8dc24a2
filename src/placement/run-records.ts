import {
  JSON_COMMA_BYTES,
  RUN_RECORD_OVERHEAD_BYTES,
  TASKS_PER_RUN_RECORD,
} from '../constants/key-value-store.js';
import { bindingKey, type ShardJob } from './shard-model.js';

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

const firstOf = (chunk: number): number => chunk * TASKS_PER_RUN_RECORD;
/** The number of the run record that holds a task. */
export const chunkOf = (index: number): number => Math.floor(index / TASKS_PER_RUN_RECORD);

/** The run record of a job as it should be stored now. */
export const runRecord = (job: ShardJob, chunk: number): RunRecord => {
  const first = firstOf(chunk);
  const done: number[] = [];
  const bindings: { index: number; machine: string; attempt: number }[] = [];
  for (let index = first; index < Math.min(first + TASKS_PER_RUN_RECORD, job.spec.tasks); index += 1) {
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
  for (let k = 0; k < TASKS_PER_RUN_RECORD; k += 1) if ((bits >> BigInt(k)) & 1n) indexes.push(first + k);
  return indexes;
};

/** Tasks in a row that an attempt has on one machine. */
type Row = [index: number, machine: string, attempt: number, count?: number];

/** A run as it is stored: its record, and parts of it where a value can't hold it all. */
export interface StoredRun {
  readonly record: unknown;
  readonly parts: readonly unknown[];
}

const rowsOf = (record: RunRecord): readonly Row[] => {
  const rows: Row[] = [];
  for (const { index, machine, attempt } of record.bindings) {
    const last = rows.at(-1);
    if (last && last[1] === machine && last[2] === attempt && last[0] + (last[3] ?? 1) === index)
      last[3] = (last[3] ?? 1) + 1;
    else rows.push([index, machine, attempt]);
  }
  return rows;
};

/**
 * A run within values of so many bytes. As it always was where that fits, or where a node of an earlier
 * version may have to read it; else with rows for tasks side by side, and the rest in parts that are written
 * in the same transaction.
 */
export const storeRun = (record: RunRecord, chunk: number, bytes: number, maySplit: boolean): StoredRun => {
  const plain = writeRunRecord(record, chunk) as { d: string; b: Row[]; n: number };
  if (!maySplit || JSON.stringify(plain).length <= bytes) return { record: plain, parts: [] };
  const lists: Row[][] = [[]];
  let size = RUN_RECORD_OVERHEAD_BYTES;
  for (const row of rowsOf(record)) {
    const more = JSON.stringify(row).length + JSON_COMMA_BYTES;
    if (size + more > bytes) {
      lists.push([]);
      size = RUN_RECORD_OVERHEAD_BYTES;
    }
    lists.at(-1)?.push(row);
    size += more;
  }
  const [first, ...rest] = lists;
  return {
    record: { d: plain.d, b: first ?? [], n: plain.n, p: rest.length },
    parts: rest.map((rows) => ({ b: rows })),
  };
};

/**
 * A gang whose bind doesn't fit in one transaction is prepared: all runs but the first are written beforehand
 * and count for nothing until the first, written last, names their attempt as valid. That one write binds the
 * gang.
 */
export const prepared = (stored: StoredRun): StoredRun => ({
  ...stored,
  record: { ...(stored.record as object), q: 1 },
});
/** A run record that makes what was prepared for this attempt valid. */
export const validating = (stored: StoredRun, attempt: number): StoredRun => ({
  ...stored,
  record: { ...(stored.record as object), v: attempt },
});
/** The attempt that a job's first run names as valid; 0: none. */
export const validAttempt = (first: unknown): number => (first as { v?: number } | undefined)?.v ?? 0;
/** Do the bindings of a run count, given the first of its job? */
export const counts = (data: unknown, first: unknown): boolean => {
  const { q, n } = data as { q?: number; n: number };
  return q === undefined || validAttempt(first) === n;
};

/** How many parts the stored record of a run has. */
export const partsOf = (data: unknown): number => (data as { p?: number }).p ?? 0;

/** Writes a run in its plain layout, which every version reads. */
export const writeRunRecord = (record: RunRecord, chunk: number): unknown => ({
  d: packBits(record.done, firstOf(chunk)),
  b: record.bindings.map((binding) => [binding.index, binding.machine, binding.attempt]),
  n: record.attempt,
});

/** Reads a stored run with its parts. */
export const readRunRecord = (data: unknown, chunk: number, parts: readonly unknown[] = []): RunRecord => {
  const raw = data as { d: string; b: Row[]; n: number };
  const rows = [...raw.b, ...parts.flatMap((part) => (part as { b: Row[] }).b)];
  return {
    done: unpackBits(raw.d, firstOf(chunk)),
    bindings: rows.flatMap(([index, machine, attempt, count]) =>
      Array.from({ length: count ?? 1 }, (_, k) => ({ index: index + k, machine, attempt })),
    ),
    attempt: raw.n,
  };
};

/** The bindings that a stored run record holds. */
export const durableKeys = (job: string, record: RunRecord): ReadonlySet<string> =>
  new Set(record.bindings.map((binding) => bindingKey(job, binding.index, binding.attempt)));
