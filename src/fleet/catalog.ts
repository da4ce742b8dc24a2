/**
 * The stored catalog: one value, or, where one can't hold it, several of the same revision. No state; the
 * catalog keeper writes it, every controller reads it.
 */
import { JSON_BRACKETS_BYTES, JSON_COMMA_BYTES } from '../constants/key-value-store.js';
import type { Catalog, MachineType } from '../jobs/model.js';
import type { StoredEntry, Write } from '../kv-store/model.js';
import { CATALOG_KEY, catalogPartKey } from '../kv-store/keys.js';
import {
  readMachineType,
  writeMachineType,
  type StoredMachineType,
  type StoredPartCount,
} from './catalog-codec.js';

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * The writes that store a catalog; null: it doesn't fit in one transaction. `bytes` bounds each value;
 * without `maySplit` the catalog is one value all the same, since controllers of an earlier version may have
 * to read it.
 */
export const catalogWrites = (
  types: readonly MachineType[],
  bytes: number,
  maxTransactionWrites: number,
  maySplit: boolean,
): readonly Write[] | null => {
  const stored = types.map(writeMachineType);
  if (!maySplit || bytesOf(stored) <= bytes) return [{ _tag: 'put', key: CATALOG_KEY, value: stored }];
  const parts: StoredMachineType[][] = [[]];
  let size = JSON_BRACKETS_BYTES;
  for (const type of stored) {
    const more = bytesOf(type) + JSON_COMMA_BYTES;
    if (size + more > bytes) {
      parts.push([]);
      size = JSON_BRACKETS_BYTES;
    }
    parts.at(-1)?.push(type);
    size += more;
  }
  if (parts.length + 1 > maxTransactionWrites) return null;
  const count: StoredPartCount = { p: parts.length };
  return [
    ...parts.map((value, part): Write => ({ _tag: 'put', key: catalogPartKey(part), value })),
    { _tag: 'put', key: CATALOG_KEY, value: count },
  ];
};

/** The stored types in their stored form, or null while a part is not there yet. */
const storedTypes = (
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): readonly StoredMachineType[] | null => {
  if (Array.isArray(entry.value)) return entry.value as StoredMachineType[];
  const types: StoredMachineType[] = [];
  for (let part = 0; part < (entry.value as StoredPartCount).p; part += 1) {
    const found = get(catalogPartKey(part));
    if (found?.version !== entry.version) return null;
    types.push(...(found.value as StoredMachineType[]));
  }
  return types;
};

/** The stored types, or null while a part is not there yet. */
export const readStoredTypes = (
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): readonly MachineType[] | null => storedTypes(entry, get)?.map(readMachineType) ?? null;

/** Are exactly these types stored? What another version stored with other fields differs. */
export const areTypesStored = (
  types: readonly MachineType[],
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): boolean => {
  const stored = storedTypes(entry, get);
  return stored !== null && JSON.stringify(stored) === JSON.stringify(types.map(writeMachineType));
};

/** The machine types by name. */
export const toCatalog = (types: readonly MachineType[]): Catalog =>
  new Map(types.map((type) => [type.name, type]));
