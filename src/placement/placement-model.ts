/**
 * What a placement round decides about and what it decides: requests, room on machines, assignments. No
 * state; each round makes new ones.
 */
import type { Demand, JobSpec } from '../jobs/model.js';
import type { Urgency } from './urgency.js';

/** Room on one machine. What is free shrinks as a round puts tasks there. */
export interface AvailableCapacity {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Demand;
  readonly free: { cpus: number; gpus: number; memoryGb: number };
  /** Of a machine that is always withheld from spot work: what the work that depends on it leaves over. */
  readonly leftover: { cpus: number; gpus: number; memoryGb: number };
  readonly images: ReadonlySet<string>;
  /** False: still booting, or not heard from yet; counts for planning, takes no tasks. */
  readonly live: boolean;
  /**
   * Held back from work that may use spot machines: the last idle ones while that can wait, those of scarce
   * types always.
   */
  readonly withheldFromSpotWork: 'never' | 'lastIdle' | 'always';
  /** Reserved for this job: work of its priority and below leaves it alone. */
  readonly reservedFor: { readonly job: string; readonly priority: number } | null;
  /** Nothing is on it. */
  readonly empty: boolean;
}

/** A job with tasks that wait for room. */
export interface PlacementRequest {
  readonly job: string;
  readonly spec: JobSpec;
  /** Indexes of the tasks that wait (gangs: all of them). */
  readonly waiting: readonly number[];
  /** Tasks of the job that are, or may be, on machines, by zone. */
  readonly tasksByZone: ReadonlyMap<string, number>;
  readonly failedOn: ReadonlySet<string>;
  /** ms since the epoch: from when its waiting counts. */
  readonly waitingSince: number;
  readonly withinGuarantee: boolean;
  /** Which start targets it can still meet; lower goes first. */
  readonly missedStartTargets: number;
  readonly urgency: Urgency;
  /** Work that may use spot machines may take room on on-demand ones now. */
  readonly mayUseOnDemand: boolean;
  /** It has other machines to go to than on-demand ones of a single type. */
  readonly hasAlternatives: boolean;
  /** Machines are reserved for it: it goes first within its priority. */
  readonly hasReservation: boolean;
}

/** One task put on one machine. */
export interface Assignment {
  readonly job: string;
  readonly index: number;
  readonly machine: string;
}

/** A request with the number of its tasks that found no room and that the team's limit allows. */
export interface UnplacedRequest {
  readonly request: PlacementRequest;
  readonly count: number;
}
