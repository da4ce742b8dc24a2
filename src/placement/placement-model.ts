/**
 * The input and output of one placement round: requests, free capacity of machines, assignments. Plain data
 * without state; each round builds new objects.
 */
import type { Demand, JobSpec } from '../jobs/model.js';
import type { Urgency } from './urgency.js';

/** Free capacity of one machine; `free` and `leftover` shrink as a round allocates tasks to the machine. */
export interface AvailableCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Demand;
  readonly free: { cpus: number; gpus: number; memoryGb: number };
  /**
   * The capacity that the work that depends on this machine type cannot use, so that work with alternatives
   * may use it. Read only if `withheldFromSpotWork` is `always`.
   */
  readonly leftover: { cpus: number; gpus: number; memoryGb: number };
  readonly images: ReadonlySet<string>;
  /**
   * Whether the machine accepts tasks now. False: it is still booting, or its worker has not confirmed the
   * token yet; its capacity counts only for planning.
   */
  readonly live: boolean;
  /**
   * Whether the machine is withheld from work that may use spot machines. `lastIdle`: the machine is one of
   * the last idle ones and is withheld until such work is urgent. `always`: other work depends on the
   * machine's type, and work that may use spot machines may use only `leftover`.
   */
  readonly withheldFromSpotWork: 'never' | 'lastIdle' | 'always';
  /** The job that the machine is reserved for, against other jobs of its priority or below; null: none. */
  readonly reservedFor: { readonly job: string; readonly priority: number } | null;
  /** Whether no task is bound to the machine. */
  readonly empty: boolean;
}

/** A job with tasks that wait for capacity. */
export interface PlacementRequest {
  readonly job: string;
  readonly spec: JobSpec;
  /** Indexes of the waiting tasks: all of a gang, at most `MAX_TASKS_PER_PLACEMENT_REQUEST` of other jobs. */
  readonly waiting: readonly number[];
  /** Number of its tasks that are, or may be, on machines, by zone; empty unless it is one-zone or spread. */
  readonly tasksByZone: ReadonlyMap<string, number>;
  readonly failedOn: ReadonlySet<string>;
  /** ms since the epoch from which the waiting time of the job counts. */
  readonly waitingSince: number;
  readonly withinGuarantee: boolean;
  /**
   * Number of start targets that the job has missed; 0 again once the job has waited for so long that it
   * would starve. Requests with a lower number are placed first.
   */
  readonly missedStartTargets: number;
  readonly urgency: Urgency;
  /** Whether the job may use on-demand machines now; read only for work that may use spot machines. */
  readonly mayUseOnDemand: boolean;
  /** Whether the job may use spot machines or fits more than one machine type. */
  readonly hasAlternatives: boolean;
  /** Whether machines are reserved for the job; it is placed first within its priority. */
  readonly hasReservation: boolean;
}

/** A decision to run one task on one machine. */
export interface Assignment {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
}

/** A request with the number of its tasks that found no capacity although the team's limit allows them. */
export interface UnplacedRequest {
  readonly request: PlacementRequest;
  readonly count: number;
}
