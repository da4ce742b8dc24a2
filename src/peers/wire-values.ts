/**
 * Reads values that other controllers send or store; these controllers may run an earlier or a later version.
 * No state.
 */

/** Whether the value is an object whose fields can be read. */
export const isMap = (value: unknown): value is object => typeof value === 'object' && value !== null;

/**
 * Reads the entries of a list one by one. A value that is not a list has no entries, and an entry that is not
 * an object is skipped: one malformed field must not make the other fields of a message unreadable.
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
