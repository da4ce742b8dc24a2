/**
 * Decides whether a waiting job justifies an on-demand machine, and counts the start targets of the job's
 * class that the job has missed. Pure; the placement view calls it for each waiting job.
 */
import {
  ON_DEMAND_PROVISIONING_WAIT_S,
  STARVATION_FACTOR,
  URGENT_PLACEMENT_SLACK_S,
  URGENT_PROVISIONING_SLACK_S,
} from '../constants/placement.js';
import type { JobSpec } from '../jobs/model.js';

/** Targets of a job class from the settings, ascending, in s from the start of a job's waiting time. */
export interface Objectives {
  /** Within how many seconds a job should start. */
  readonly wait: readonly number[];
  /** Within how many seconds a job should be done. */
  readonly finished: readonly number[];
}

/** s within which a job should be done: the targets of its class, or its own deadline if there are none. */
const finishTargets = (spec: JobSpec, objectives: Objectives | undefined): readonly number[] => {
  const list = [...(objectives?.finished ?? [])];
  if (spec.deadlineS !== null && list.length === 0) list.push(spec.deadlineS);
  return list;
};

/** Whether an on-demand machine is worth its price for a job that may use spot machines. */
export interface Urgency {
  /** Whether using an on-demand machine that runs now meets a target that waiting would miss. */
  readonly place: boolean;
  /**
   * Whether provisioning an on-demand machine now meets a target that provisioning it later would miss, or
   * the job has waited so long that spot machines are evidently not available.
   */
  readonly provision: boolean;
}

/**
 * Decides whether work that may use spot machines is urgent enough for on-demand machines. An on-demand
 * machine costs a multiple of a spot machine, so it is worth its price only if it meets a target that would
 * otherwise be missed: not while there is slack to wait for a spot machine, and not once the target is missed
 * anyway. A job without targets is urgent once it has waited for `ON_DEMAND_PROVISIONING_WAIT_S`.
 * `waitedS`: s that the job has waited; `bootS`: s to boot a machine; `fetchS`: s to fetch an image.
 */
export const urgency = (
  spec: JobSpec,
  objectives: Objectives | undefined,
  waitedS: number,
  bootS: number,
  fetchS: number,
): Urgency => {
  const waitedLong = waitedS > ON_DEMAND_PROVISIONING_WAIT_S;
  /** For each target: s that are left until the work must begin in order to meet the target. */
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
 * Number of start targets that a waiting job has missed: 0 none, 1 only the tightest, and so on. Jobs that
 * have missed fewer are placed first. A job that has waited for longer than `STARVATION_FACTOR` times the
 * loosest target counts as 0 again, so that it does not starve.
 */
export const missedStartTargets = (objectives: Objectives | undefined, waitedS: number): number => {
  const list = objectives?.wait ?? [];
  const last = list.at(-1);
  if (last === undefined) return 0;
  if (waitedS > last * STARVATION_FACTOR) return 0;
  return list.filter((target) => waitedS > target).length;
};
