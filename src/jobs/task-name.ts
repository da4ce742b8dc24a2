/**
 * Names of tasks on the wire: the job's id and the task's index. Owns no state; called by the workers' codec.
 */

/** The name of a task on the wire. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;

/** Reads a task's name; null: malformed. */
export const parseTaskName = (name: string): { job: string; index: number } | null => {
  const cut = name.lastIndexOf('/');
  const index = Number(name.slice(cut + 1));
  return cut > 0 && Number.isInteger(index) && index >= 0 ? { job: name.slice(0, cut), index } : null;
};
