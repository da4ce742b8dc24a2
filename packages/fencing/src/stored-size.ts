/** Limits lists of entries to the largest value that the key-value store accepts. Pure. */

/** Returns the size of a value in bytes as the key-value store measures it: in its JSON form. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Removes entries with `shorten`, one at a time, until the encoded list fits in `maxBytes`. */
const longestThatFits = <T>(
  entries: readonly T[],
  maxBytes: number,
  encode: (entries: readonly T[]) => unknown,
  shorten: (entries: readonly T[]) => readonly T[],
): readonly T[] => {
  let fitting = entries;
  while (fitting.length > 0 && storedBytes(encode(fitting)) > maxBytes) fitting = shorten(fitting);
  return fitting;
};

/**
 * Returns as many of the last entries as fit in `maxBytes`; `encode` returns the value with given entries.
 */
export const lastThatFit = <T>(
  entries: readonly T[],
  maxBytes: number,
  encode: (entries: readonly T[]) => unknown,
): readonly T[] => longestThatFits(entries, maxBytes, encode, (list) => list.slice(1));

/**
 * Returns as many of the first entries as fit in `maxBytes`; `encode` returns the value with given entries.
 */
export const firstThatFit = <T>(
  entries: readonly T[],
  maxBytes: number,
  encode: (entries: readonly T[]) => unknown,
): readonly T[] => longestThatFits(entries, maxBytes, encode, (list) => list.slice(0, -1));
