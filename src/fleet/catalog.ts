/**
 * The stored catalog: one value or, if it is too long for one value, several values of the same revision. No
 * state. The catalog keeper writes the catalog, every controller reads it.
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

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/**
 * The writes that store a catalog; null: they don't fit in one transaction. Each value has at most
 * `maxValueBytes` bytes. Without `maySplit`, the catalog is one value whatever its size, because controllers
 * of an earlier version, which cannot read parts, may have to read it.
 */
export const catalogWrites = (
  types: readonly MachineType[],
  maxValueBytes: number,
  maxTransactionWrites: number,
  maySplit: boolean,
): readonly Write[] | null => {
  const stored = types.map(writeMachineType);
  if (!maySplit || jsonBytes(stored) <= maxValueBytes)
    return [{ _tag: 'put', key: CATALOG_KEY, value: stored }];
  const parts: StoredMachineType[][] = [[]];
  let size = JSON_BRACKETS_BYTES;
  for (const type of stored) {
    const typeBytes = jsonBytes(type) + JSON_COMMA_BYTES;
    if (size + typeBytes > maxValueBytes) {
      parts.push([]);
      size = JSON_BRACKETS_BYTES;
    }
    parts.at(-1)?.push(type);
    size += typeBytes;
  }
  if (parts.length + 1 > maxTransactionWrites) return null;
  const count: StoredPartCount = { p: parts.length };
  return [
    ...parts.map((value, part): Write => ({ _tag: 'put', key: catalogPartKey(part), value })),
    { _tag: 'put', key: CATALOG_KEY, value: count },
  ];
};

/** The machine types of all parts in their stored format; null: a part of this revision is missing. */
const collectStoredTypes = (
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): readonly StoredMachineType[] | null => {
  if (Array.isArray(entry.value)) return entry.value as StoredMachineType[];
  const types: StoredMachineType[] = [];
  for (let part = 0; part < (entry.value as StoredPartCount).p; part += 1) {
    const partEntry = get(catalogPartKey(part));
    if (partEntry?.version !== entry.version) return null;
    types.push(...(partEntry.value as StoredMachineType[]));
  }
  return types;
};

/** The stored machine types; null: a part of this revision is missing. */
export const readStoredTypes = (
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): readonly MachineType[] | null => collectStoredTypes(entry, get)?.map(readMachineType) ?? null;

/** Whether exactly these types are stored; a type that another version stored with other fields differs. */
export const areTypesStored = (
  types: readonly MachineType[],
  entry: StoredEntry,
  get: (key: string) => StoredEntry | undefined,
): boolean => {
  const stored = collectStoredTypes(entry, get);
  return stored !== null && JSON.stringify(stored) === JSON.stringify(types.map(writeMachineType));
};

/** The machine types by name. */
export const toCatalog = (types: readonly MachineType[]): Catalog =>
  new Map(types.map((type) => [type.name, type]));
