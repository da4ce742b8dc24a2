/**
 * The compact stored form of the job ids in dependency lists: sorted, without their common prefix, as
 * differences in base 36. No state; the codec of job records and the users' API call it.
 */

const JOB_ID_PREFIX = 'job-';
/** The base in which differences are written. */
const RADIX = 36;
const BIG_RADIX = BigInt(RADIX);
/** Characters that the first id of a length takes besides its number: length, colon, quotes and comma. */
const FIRST_ID_OVERHEAD_CHARACTERS = 8;
/** The dot between two ids. */
const SEPARATOR_CHARACTERS = 1;

const digitsOf = (id: string): string => id.slice(JOB_ID_PREFIX.length);

const compareNumbers = (a: bigint, b: bigint): number => (a < b ? -1 : a > b ? 1 : 0);

/** The numbers of ids, grouped by the number of digits in the id. */
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
 * Packs ids into one text for each number of digits: that number, the first id's number, and the difference
 * of each further id to the one before.
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

/** Parses a number in base 36; `BigInt` parses only bases 2, 8, 10 and 16. */
const parseNumber = (text: string): bigint => {
  let value = 0n;
  for (const digit of text) value = value * BIG_RADIX + BigInt(parseInt(digit, RADIX));
  return value;
};

/** Unpacks ids that `packIds` packed. */
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

/**
 * Splits ids into lists whose packed texts each take at most `bytes` bytes, without the enclosing brackets.
 */
export const splitIds = (ids: readonly string[], bytes: number): readonly (readonly string[])[] => {
  const sorted = [...new Set(ids)].sort((a, b) => a.length - b.length || (a < b ? -1 : 1));
  const parts: string[][] = [];
  let part: string[] = [];
  let size = 0;
  let previous = { length: 0, number: 0n };
  for (const id of sorted) {
    const number = BigInt(digitsOf(id));
    const firstCost = number.toString(RADIX).length + FIRST_ID_OVERHEAD_CHARACTERS;
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
