/** Fits lists of entries into the largest value that the state service takes. Pure. */

/** bytes of a value as the state service measures it: in its JSON form. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** The longest of ever shorter lists whose encoding fits; `shorten` leaves out one entry. */
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

/** The last entries of a list with which a value still fits; `encode` gives the value with these entries. */
export const lastThatFit = <T>(
  entries: readonly T[],
  maxBytes: number,
  encode: (entries: readonly T[]) => unknown,
): readonly T[] => longestThatFits(entries, maxBytes, encode, (list) => list.slice(1));

/** The first entries of a list with which a value still fits; `encode` gives the value with these entries. */
export const firstThatFit = <T>(
  entries: readonly T[],
  maxBytes: number,
  encode: (entries: readonly T[]) => unknown,
): readonly T[] => longestThatFits(entries, maxBytes, encode, (list) => list.slice(0, -1));
