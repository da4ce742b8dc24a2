import { JSON_BRACKETS_BYTES, JSON_COMMA_BYTES } from '../constants/key-value-store.js';
import type { Catalog, MachineType } from '../jobs/model.js';
import type { Item, Write } from '../store/client.js';
import { CATALOG_KEY, catalogPartKey } from '../store/keys.js';

/** The last known catalog as it is kept: one value, or, where one can't hold it, several of the same revision. */
const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** null: it doesn't fit in one transaction. As one value where nodes of an earlier version may have to read it. */
export const storeCatalog = (
  types: readonly MachineType[],
  bytes: number,
  txnOps: number,
  maySplit: boolean,
): readonly Write[] | null => {
  if (!maySplit || bytesOf(types) <= bytes) return [{ _tag: 'put', key: CATALOG_KEY, value: types }];
  const parts: MachineType[][] = [[]];
  let size = JSON_BRACKETS_BYTES;
  for (const type of types) {
    const more = bytesOf(type) + JSON_COMMA_BYTES;
    if (size + more > bytes) {
      parts.push([]);
      size = JSON_BRACKETS_BYTES;
    }
    parts.at(-1)?.push(type);
    size += more;
  }
  if (parts.length + 1 > txnOps) return null;
  return [
    ...parts.map((value, part): Write => ({ _tag: 'put', key: catalogPartKey(part), value })),
    { _tag: 'put', key: CATALOG_KEY, value: { p: parts.length } },
  ];
};

/** The types as stored, or null while a part is not there yet. */
export const readStored = (
  item: Item,
  get: (key: string) => Item | undefined,
): readonly MachineType[] | null => {
  if (Array.isArray(item.value)) return item.value as MachineType[];
  const types: MachineType[] = [];
  for (let part = 0; part < (item.value as { p: number }).p; part += 1) {
    const found = get(catalogPartKey(part));
    if (found?.version !== item.version) return null;
    types.push(...(found.value as MachineType[]));
  }
  return types;
};

/** The machine types by name. */
export const toCatalog = (types: readonly MachineType[]): Catalog =>
  new Map(types.map((type) => [type.name, type]));
