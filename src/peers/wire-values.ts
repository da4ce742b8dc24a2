/** Reads what other controllers send or store; they may run an earlier or a later version. No state. */

/** Is the value a map, whose fields can be read? */
export const isMap = (value: unknown): value is object => typeof value === 'object' && value !== null;

/**
 * The entries of a list, read one by one. What is no list has no entries and what is no map is left out: one
 * malformed field must not hide the rest of a message.
 */
export const readEntries = <Wire extends object, Entry>(
  list: readonly Wire[] | undefined,
  read: (wire: Wire) => Entry,
): readonly Entry[] => {
  const values: readonly unknown[] = Array.isArray(list) ? list : [];
  const entries: Entry[] = [];
  for (const value of values) if (isMap(value)) entries.push(read(value as Wire));
  return entries;
};
