/**
 * Jobs, their tasks, what is durable about them, and the amounts that tasks take and machine types have.
 * Plain data and pure functions in the service's own terms; used by all subsystems.
 */

import { AMOUNT_TOLERANCE } from '../constants/placement.js';

/** The shape of a job. */
export type JobKind = 'array' | 'gang' | 'service';
/** Larger is more important. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as it was submitted, in the terms of this service. */
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

/** The durable record of a job that is not over: written by whichever controller takes the user's call. */
export interface JobRecord {
  readonly spec: JobSpec;
  /** ms since the epoch, by the clock of the accepting controller. */
  readonly at: number;
  readonly cancelled: boolean;
  /** ms since the epoch, when it was cancelled; null: it is not, or the controller did not say. */
  readonly cancelledAt: number | null;
  /**
   * Jobs that have to be done before a task of this one starts; without those that stand in parts of their
   * own.
   */
  readonly dependsOn: readonly string[];
  /** How many such parts there are: a record of a long list would outgrow a value. */
  readonly parts: number;
}

/** How a job ended. */
export type FinalState = 'done' | 'cancelled';

/** The durable record of a job that is over. */
export interface FinalRecord {
  readonly state: FinalState;
  readonly at: number;
  readonly tasks: number;
}

/** The status of a job as its user sees it. */
export type JobStatus = 'pending' | 'running' | FinalState;

/** Tasks of a job that are over, and that run. */
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

/** Amounts that a task or a group of tasks takes. */
export interface Demand {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Do these amounts fit into those? */
export const fitsIn = (need: Demand, room: Demand): boolean =>
  need.cpus <= room.cpus + AMOUNT_TOLERANCE &&
  need.gpus <= room.gpus + AMOUNT_TOLERANCE &&
  need.memoryGb <= room.memoryGb + AMOUNT_TOLERANCE;

/** How many tasks of this size a room holds; bounded, since a task may ask for nothing at all. */
export const fittingTaskCount = (need: Demand, room: Demand, most: number): number => {
  let count = most;
  if (need.cpus > 0) count = Math.min(count, Math.floor((room.cpus + AMOUNT_TOLERANCE) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((room.gpus + AMOUNT_TOLERANCE) / need.gpus));
  if (need.memoryGb > 0)
    count = Math.min(count, Math.floor((room.memoryGb + AMOUNT_TOLERANCE) / need.memoryGb));
  return Math.max(0, count);
};

/** Does the job allow this machine type? */
export const typeAllowed = (spec: Pick<JobSpec, 'types'>, type: string): boolean =>
  spec.types === null || spec.types.includes(type);

/** Does the job allow this type, zone and kind of machine? */
export const placeAllowed = (spec: JobSpec, place: { type: string; zone: string; spot: boolean }): boolean =>
  typeAllowed(spec, place.type) &&
  (spec.zone === null || spec.zone === place.zone) &&
  (spec.spot || !place.spot);

/** The machine types that one task of the job fits and that the job allows. */
export const fittingTypes = (spec: JobSpec, catalog: Catalog): readonly MachineType[] =>
  [...catalog.values()].filter((type) => typeAllowed(spec, type.name) && fitsIn(spec, type));

/** Has the job other machines to go to than ordinary ones of a single type? */
export const hasAlternatives = (spec: JobSpec, catalog: Catalog): boolean =>
  spec.spot || fittingTypes(spec, catalog).length > 1;
