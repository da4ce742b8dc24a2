/**
 * The stored form of job ids in dependency lists: sorted, without what they have in common, in few
 * characters. No state; the job codec and the users' API call it.
 */

const JOB_ID_PREFIX = 'job-';
/** The base in which numbers are written. */
const RADIX = 36;
const BIG_RADIX = BigInt(RADIX);
/** Characters beside the number that the first id of a length takes: length, colon, quotes and comma. */
const NEW_LENGTH_CHARACTERS = 8;
/** The point between two ids. */
const SEPARATOR_CHARACTERS = 1;

const digitsOf = (id: string): string => id.slice(JOB_ID_PREFIX.length);

const compareNumbers = (a: bigint, b: bigint): number => (a < b ? -1 : a > b ? 1 : 0);

/** The numbers of ids, by how many digits they are written with. */
const numbersByLength = (ids: readonly string[]): ReadonlyMap<number, bigint[]> => {
  const byLength = new Map<number, bigint[]>();
  for (const id of new Set(ids)) {
    const digits = digitsOf(id);
    const numbers = byLength.get(digits.length) ?? [];
    byLength.set(digits.length, numbers);
    numbers.push(BigInt(digits));
  }
  return byLength;
};

/**
 * Packs ids: for each length one text of the length, the first number and the differences to the next ones.
 */
export const packIds = (ids: readonly string[]): readonly string[] =>
  [...numbersByLength(ids)].map(([length, numbers]) => {
    numbers.sort(compareNumbers);
    let previous = 0n;
    const differences = numbers.map((number) => {
      const difference = (number - previous).toString(RADIX);
      previous = number;
      return difference;
    });
    return `${length}:${differences.join('.')}`;
  });

/** The number that a text of digits stands for; `BigInt` reads no base but 2, 8, 10 and 16. */
const parseNumber = (text: string): bigint => {
  let value = 0n;
  for (const digit of text) value = value * BIG_RADIX + BigInt(parseInt(digit, RADIX));
  return value;
};

/** Reads ids that `packIds` wrote. */
export const unpackIds = (texts: readonly string[]): readonly string[] =>
  texts.flatMap((text) => {
    const colon = text.indexOf(':');
    const length = Number(text.slice(0, colon));
    let number = 0n;
    return text
      .slice(colon + 1)
      .split('.')
      .map((difference) => {
        number += parseNumber(difference);
        return JOB_ID_PREFIX + number.toString().padStart(length, '0');
      });
  });

/** Parts ids into lists whose packed form stays below so many bytes each. */
export const splitIds = (ids: readonly string[], bytes: number): readonly (readonly string[])[] => {
  const sorted = [...new Set(ids)].sort((a, b) => a.length - b.length || (a < b ? -1 : 1));
  const parts: string[][] = [];
  let part: string[] = [];
  let size = 0;
  let previous = { length: 0, number: 0n };
  for (const id of sorted) {
    const number = BigInt(digitsOf(id));
    const firstCost = number.toString(RADIX).length + NEW_LENGTH_CHARACTERS;
    const isFirst = part.length === 0 || id.length !== previous.length;
    const cost = isFirst
      ? firstCost
      : (number - previous.number).toString(RADIX).length + SEPARATOR_CHARACTERS;
    if (part.length > 0 && size + cost > bytes) {
      parts.push(part);
      part = [];
      size = firstCost;
    } else size += cost;
    part.push(id);
    previous = { length: id.length, number };
  }
  if (part.length > 0) parts.push(part);
  return parts;
};
