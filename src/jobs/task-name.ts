/**
 * Names of tasks on the wire: the job's id and the task's index, separated by a slash. Owns no state; the
 * codec of the workers' protocol calls it.
 */

/** Builds the name of a task on the wire. */
export const taskName = (job: string, index: number): string => `${job}/${index}`;

/** Parses a task's name; null: malformed. */
export const parseTaskName = (name: string): { job: string; index: number } | null => {
  const slash = name.lastIndexOf('/');
  const index = Number(name.slice(slash + 1));
  return slash > 0 && Number.isInteger(index) && index >= 0 ? { job: name.slice(0, slash), index } : null;
};
