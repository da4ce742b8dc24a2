/**
 * Encodes and decodes stored runs: a record, and further parts of it if one value can't hold all of the run.
 * Fields of the stored form: `d` done tasks, `b` bindings in rows, `n` highest attempt, `p` number of parts,
 * `q` prepared, `v` the attempt that is valid. No state.
 */
import {
  JSON_COMMA_BYTES,
  RUN_RECORD_OVERHEAD_BYTES,
  TASKS_PER_RUN_RECORD,
} from '../constants/key-value-store.js';
import { firstIndexOf, type RunRecord } from './run-records.js';

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

/** Consecutive tasks that one attempt binds to one machine; without a count: one task. */
type Row = [index: number, machine: string, attempt: number, count?: number];

/** The stored form of a run. */
interface StoredRecord {
  readonly d: string;
  readonly b: readonly Row[];
  readonly n: number;
  readonly p?: number;
  readonly q?: 1;
  readonly v?: number;
}
/** The stored form of a part. */
interface StoredPart {
  readonly b: readonly Row[];
}

/** The stored form of a run: its record, and further parts of it if one value can't hold all of the run. */
export interface StoredRun {
  readonly record: unknown;
  readonly parts: readonly unknown[];
}

const rowsOf = (record: RunRecord): readonly Row[] => {
  const rows: Row[] = [];
  for (const { index, machine, attempt } of record.bindings) {
    const last = rows.at(-1);
    if (last?.[1] === machine && last[2] === attempt && last[0] + (last[3] ?? 1) === index)
      last[3] = (last[3] ?? 1) + 1;
    else rows.push([index, machine, attempt]);
  }
  return rows;
};

/** Splits rows into lists that each fit in a value of `bytes` bytes. */
const splitRows = (rows: readonly Row[], bytes: number): readonly (readonly Row[])[] => {
  const lists: Row[][] = [[]];
  let size = RUN_RECORD_OVERHEAD_BYTES;
  for (const row of rows) {
    const more = JSON.stringify(row).length + JSON_COMMA_BYTES;
    if (size + more > bytes) {
      lists.push([]);
      size = RUN_RECORD_OVERHEAD_BYTES;
    }
    lists.at(-1)?.push(row);
    size += more;
  }
  return lists;
};

const plainRecord = (record: RunRecord, chunk: number): StoredRecord => ({
  d: packBits(record.done, firstIndexOf(chunk)),
  b: record.bindings.map(({ index, machine, attempt }): Row => [index, machine, attempt]),
  n: record.attempt,
});

/** Encodes a run in its plain layout, which every version reads. */
export const writeRunRecord = (record: RunRecord, chunk: number): unknown => plainRecord(record, chunk);

/**
 * Encodes a run for values of `bytes` bytes: in its plain layout if that fits, or if a controller of an
 * earlier version may have to read it; otherwise with one row for consecutive tasks, and with the rows that
 * don't fit in parts that are written in the same transaction.
 */
export const encodeRun = (record: RunRecord, chunk: number, bytes: number, maySplit: boolean): StoredRun => {
  const plain = plainRecord(record, chunk);
  if (!maySplit || JSON.stringify(plain).length <= bytes) return { record: plain, parts: [] };
  const [first, ...rest] = splitRows(rowsOf(record), bytes);
  return {
    record: { d: plain.d, b: first ?? [], n: plain.n, p: rest.length },
    parts: rest.map((rows) => ({ b: rows })),
  };
};

/**
 * Marks a run as prepared. If the bindings of a gang don't fit in one transaction, all runs but the first are
 * written beforehand as prepared and have no effect until the first, written last, names their attempt as
 * valid. That single write binds the gang.
 */
export const asPrepared = (stored: StoredRun): StoredRun => ({
  ...stored,
  record: { ...(stored.record as object), q: 1 },
});
/** Names the attempt in the record of a job's first run, which makes the runs prepared for it valid. */
export const withValidAttempt = (stored: StoredRun, attempt: number): StoredRun => ({
  ...stored,
  record: { ...(stored.record as object), v: attempt },
});
/** The attempt that a job's first run names as valid; 0: none. */
export const validAttempt = (first: unknown): number => (first as StoredRecord | undefined)?.v ?? 0;
/** Whether the bindings of a run are in effect, given the record of its job's first run. */
export const isRunValid = (data: unknown, first: unknown): boolean => {
  const { q, n } = data as StoredRecord;
  return q === undefined || validAttempt(first) === n;
};

/** The number of parts that belong to the stored record of a run. */
export const partCountOf = (data: unknown): number => (data as StoredRecord).p ?? 0;

/** Reads a stored run with its parts. */
export const readRunRecord = (data: unknown, chunk: number, parts: readonly unknown[] = []): RunRecord => {
  const stored = data as StoredRecord;
  const rows = [...stored.b, ...parts.flatMap((part) => (part as StoredPart).b)];
  return {
    done: unpackBits(stored.d, firstIndexOf(chunk)),
    bindings: rows.flatMap(([index, machine, attempt, count]) =>
      Array.from({ length: count ?? 1 }, (_, k) => ({ index: index + k, machine, attempt })),
    ),
    attempt: stored.n,
  };
};
