/**
 * Whether a waiting job is worth an on-demand machine, and which of its class's targets it can still meet.
 * Pure; the placement view calls it for each waiting job.
 */
import {
  ON_DEMAND_PROVISIONING_PATIENCE_S,
  STARVATION_FACTOR,
  URGENT_PLACEMENT_SLACK_S,
  URGENT_PROVISIONING_SLACK_S,
} from '../constants/placement.js';
import type { JobSpec } from '../jobs/model.js';

/** What the settings say is expected of a class of jobs, in seconds from submission, ascending. */
export interface Objectives {
  /** Start within. */
  readonly wait: readonly number[];
  /** Done within. */
  readonly finished: readonly number[];
}

/** s from submission by which a job should be done: those of its class and its own deadline. */
const finishTargets = (spec: JobSpec, objectives: Objectives | undefined): readonly number[] => {
  const list = [...(objectives?.finished ?? [])];
  if (spec.deadlineS !== null && list.length === 0) list.push(spec.deadlineS);
  return list;
};

/** Whether an on-demand machine is worth its price for work that may use spot machines. */
export interface Urgency {
  /** Taking an on-demand machine that is up now saves a target that waiting would miss. */
  readonly place: boolean;
  /**
   * Provisioning an on-demand machine now still saves a target, and later won't; or spot is plainly not to
   * be had.
   */
  readonly provision: boolean;
}

/**
 * Work that may use spot machines is worth an on-demand one, which costs a multiple, only where that saves a
 * target: neither while there is slack to wait for a spot machine, nor once the target is lost anyway.
 */
export const urgency = (
  spec: JobSpec,
  objectives: Objectives | undefined,
  waitedS: number,
  bootS: number,
  fetchS: number,
): Urgency => {
  const waitedLong = waitedS > ON_DEMAND_PROVISIONING_PATIENCE_S;
  /** s left before the work must begin, for each target. */
  const slacks = [
    ...finishTargets(spec, objectives).map((target) => target - waitedS - spec.estimateS - fetchS),
    ...(objectives?.wait ?? []).map((target) => target - waitedS - fetchS),
  ];
  if (slacks.length === 0) return { place: waitedLong, provision: waitedLong };
  return {
    place: slacks.some((slack) => slack >= 0 && slack < URGENT_PLACEMENT_SLACK_S),
    provision:
      waitedLong || slacks.some((slack) => slack >= bootS && slack < bootS + URGENT_PROVISIONING_SLACK_S),
  };
};

/**
 * Which of the start targets a waiting job can still meet: 0 all, 1 all but the tightest, and so on. Jobs
 * that can still meet one go before those that can't, unless these have waited many times as long.
 */
export const missedStartTargets = (objectives: Objectives | undefined, waitedS: number): number => {
  const list = objectives?.wait ?? [];
  const last = list.at(-1);
  if (last === undefined) return 0;
  if (waitedS > last * STARVATION_FACTOR) return 0;
  return list.filter((target) => waitedS > target).length;
};
