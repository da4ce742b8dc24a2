/**
 * Decides from the catalog and the limit of its team whether a submitted job can ever run. No I/O; called
 * for each submission.
 */
import { tasksWithinLimit, type TeamLimit } from '../placement/team-limits.js';
import { fitsIn, typeAllowed, type Catalog, type JobSpec } from './model.js';

const fitsSomeMachineType = (spec: JobSpec, catalog: Catalog): boolean =>
  [...catalog.values()].some(
    (type) =>
      typeAllowed(spec, type.name) &&
      fitsIn(spec, type) &&
      (spec.zone === null || type.zones.includes(spec.zone)),
  );

/** Returns the reason why a job can never run, as a text for its user; null if the job can run. */
export const rejectionReason = (
  spec: JobSpec,
  catalog: Catalog,
  limits: ReadonlyMap<string, TeamLimit>,
): string | null => {
  const limit = limits.get(spec.team);
  if (!limit) return `unknown team ${spec.team}`;
  if (!fitsSomeMachineType(spec, catalog)) return 'a task fits no allowed machine type';
  const minimumTasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (tasksWithinLimit(spec, limit, { cpus: 0, gpus: 0 }, minimumTasks) < minimumTasks)
    return `more than the limit of team ${spec.team}`;
  return null;
};

/**
 * Removes machine types that are not in the catalog, and duplicates: a long list of them must not make the
 * job's record too large for a value of the key-value store.
 */
export const withKnownTypes = (spec: JobSpec, catalog: Catalog): JobSpec =>
  spec.types === null
    ? spec
    : { ...spec, types: [...new Set(spec.types)].filter((type) => catalog.has(type)) };
