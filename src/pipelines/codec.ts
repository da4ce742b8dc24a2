/** Ids of followed jobs as they are kept: sorted, without what they have in common, in few characters. */
const PREFIX = 'job-';

/** One text for ids of the same length: the length, then the first number and the steps to the others. */
export const packIds = (ids: readonly string[]): readonly string[] => {
  const byLength = new Map<number, bigint[]>();
  for (const id of new Set(ids)) {
    const digits = id.slice(PREFIX.length);
    const list = byLength.get(digits.length) ?? [];
    byLength.set(digits.length, list);
    list.push(BigInt(digits));
  }
  return [...byLength].map(([length, numbers]) => {
    numbers.sort((a, b) => (a < b ? -1 : a > b ? 1 : 0));
    let before = 0n;
    const steps = numbers.map((number) => {
      const step = (number - before).toString(36);
      before = number;
      return step;
    });
    return `${length}:${steps.join('.')}`;
  });
};

/**
 * The number that such a text of digits to the base 36 stands for; `BigInt` reads no base but 2, 8, 10
 * and 16.
 */
const fromBase36 = (text: string): bigint => {
  let value = 0n;
  for (const digit of text) value = value * 36n + BigInt(parseInt(digit, 36));
  return value;
};

/** Reads ids that `packIds` wrote. */
export const unpackIds = (texts: readonly string[]): readonly string[] =>
  texts.flatMap((text) => {
    const cut = text.indexOf(':');
    const length = Number(text.slice(0, cut));
    let number = 0n;
    return text
      .slice(cut + 1)
      .split('.')
      .map((step) => {
        number += fromBase36(step);
        return PREFIX + number.toString().padStart(length, '0');
      });
  });

/** Ids in lists whose packed form stays below so many bytes each. */
export const splitIds = (ids: readonly string[], bytes: number): readonly (readonly string[])[] => {
  const sorted = [...new Set(ids)].sort((a, b) => a.length - b.length || (a < b ? -1 : 1));
  const parts: string[][] = [];
  let part: string[] = [];
  let size = 0;
  let length = 0;
  let before = 0n;
  for (const id of sorted) {
    const number = BigInt(id.slice(PREFIX.length));
    const start = part.length === 0 || id.length !== length;
    // A step and its point; a new length costs its own text with quotes.
    const cost = start ? number.toString(36).length + 8 : (number - before).toString(36).length + 1;
    if (part.length > 0 && size + cost > bytes) {
      parts.push(part);
      part = [];
      size = number.toString(36).length + 8;
    } else size += cost;
    part.push(id);
    length = id.length;
    before = number;
  }
  if (part.length > 0) parts.push(part);
  return parts;
};
