/** bytes of a value as the state service measures it: in its JSON form. */
export const storedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** The newest entries of a list with which a value still fits; older ones are left out first. */
export const newestThatFit = <T>(
  entries: readonly T[],
  maxBytes: number,
  store: (withheldFromSpotWork: readonly T[]) => unknown,
): readonly T[] => {
  let withheldFromSpotWork = entries;
  while (withheldFromSpotWork.length > 0 && storedBytes(store(withheldFromSpotWork)) > maxBytes)
    withheldFromSpotWork = withheldFromSpotWork.slice(1);
  return withheldFromSpotWork;
};
