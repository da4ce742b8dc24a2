/**
 * Jobs, their tasks and durable records, and the resource amounts of tasks and machine types. Plain data and
 * pure functions, independent of the wire's terms; used by all subsystems.
 */

import { AMOUNT_TOLERANCE } from '../constants/placement.js';

/** The kind of a job, which is its `shape` on the wire. */
export type JobKind = 'array' | 'gang' | 'service';
/** Priority of a job; a larger value is more important. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as submitted. Field names that end in `S` hold seconds, `Gb` gigabytes. */
export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly image: string;
  readonly imageGb: number;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

/** The durable record of a job that has not ended, written first by the controller that accepts it. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** When the job was accepted, in ms since the epoch by the clock of the accepting controller. */
  readonly at: number;
  /** Whether the job has been cancelled. */
  readonly cancelled: boolean;
  /**
   * When the job was cancelled, in ms since the epoch; null: the job is not cancelled, or the controller that
   * cancelled it recorded no time.
   */
  readonly cancelledAt: number | null;
  /**
   * Ids of the jobs that must be done before a task of this job starts, except those stored in separate
   * parts.
   */
  readonly dependsOn: readonly string[];
  /**
   * Number of separate parts of the list of dependencies. A list that is too long for the job's record is
   * stored in them, so that the record stays within the store's limit for a value.
   */
  readonly parts: number;
}

/** How a job ended. */
export type FinalState = 'done' | 'cancelled';

/** The durable record of a job that has ended. */
export interface FinalRecord {
  readonly state: FinalState;
  /** When the job ended, in ms since the epoch by the clock of the controller that wrote the record. */
  readonly at: number;
  /** Number of tasks of the job. */
  readonly tasks: number;
}

/** The status of a job as reported to its user. */
export type JobStatus = 'pending' | 'running' | FinalState;

/** Numbers of tasks of a job that are done and that are running. */
export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

/** A machine type of the catalog. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** Machine types by name. */
export type Catalog = ReadonlyMap<string, MachineType>;

/** Resource amounts that a task or a group of tasks needs, or that are available to tasks. */
export interface Demand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Whether the needed amounts fit into the available ones. */
export const fitsIn = (needed: Demand, available: Demand): boolean =>
  needed.cpus <= available.cpus + AMOUNT_TOLERANCE &&
  needed.gpus <= available.gpus + AMOUNT_TOLERANCE &&
  needed.memoryGb <= available.memoryGb + AMOUNT_TOLERANCE;

/** Number of tasks that fit into the available amounts, at most `maxTasks`: a task may need no resources. */
export const fittingTaskCount = (needed: Demand, available: Demand, maxTasks: number): number => {
  let count = maxTasks;
  if (needed.cpus > 0) count = Math.min(count, Math.floor((available.cpus + AMOUNT_TOLERANCE) / needed.cpus));
  if (needed.gpus > 0) count = Math.min(count, Math.floor((available.gpus + AMOUNT_TOLERANCE) / needed.gpus));
  if (needed.memoryGb > 0)
    count = Math.min(count, Math.floor((available.memoryGb + AMOUNT_TOLERANCE) / needed.memoryGb));
  return Math.max(0, count);
};

/** Whether the job allows this machine type. */
export const typeAllowed = (spec: Pick<JobSpec, 'types'>, type: string): boolean =>
  spec.types === null || spec.types.includes(type);

/** Whether the job allows a machine of this type, in this zone, and spot or standard. */
export const placeAllowed = (spec: JobSpec, place: { type: string; zone: string; spot: boolean }): boolean =>
  typeAllowed(spec, place.type) &&
  (spec.zone === null || spec.zone === place.zone) &&
  (spec.spot || !place.spot);

/** The machine types that the job allows and that one task of it fits. */
export const fittingTypes = (spec: JobSpec, catalog: Catalog): readonly MachineType[] =>
  [...catalog.values()].filter((type) => typeAllowed(spec, type.name) && fitsIn(spec, type));

/** Whether the job can run on spot machines or on more than one machine type. */
export const hasAlternatives = (spec: JobSpec, catalog: Catalog): boolean =>
  spec.spot || fittingTypes(spec, catalog).length > 1;
