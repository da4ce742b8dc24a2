/** Reads the objectives of job classes from the settings file. No state. */
import type { Objectives } from './urgency.js';

const KINDS = { wait: 'wait', finished: 'finished' } as const;

interface RawObjective {
  readonly kind?: unknown;
  readonly class?: unknown;
  readonly within_s?: unknown;
}

/**
 * The objectives in the settings, by job class. Entries of an unknown kind or with malformed fields are left
 * out.
 */
export const readObjectives = (raw: readonly unknown[] | undefined): ReadonlyMap<string, Objectives> => {
  const classes = new Map<string, { wait: number[]; finished: number[] }>();
  for (const entry of raw ?? []) {
    const { kind, class: jobClass, within_s: within } = entry as RawObjective;
    if (
      typeof jobClass !== 'string' ||
      typeof within !== 'number' ||
      (kind !== KINDS.wait && kind !== KINDS.finished)
    )
      continue;
    const known = classes.get(jobClass) ?? { wait: [], finished: [] };
    known[kind].push(within);
    classes.set(jobClass, known);
  }
  for (const known of classes.values()) {
    known.wait.sort((a, b) => a - b);
    known.finished.sort((a, b) => a - b);
  }
  return classes;
};
