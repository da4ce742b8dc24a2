/** The order in which requests are placed. No state. */
import type { PlacementRequest } from './placement-model.js';

/** ms since the epoch; the largest safe integer for a job without a deadline. */
const dueAt = (request: PlacementRequest): number =>
  request.spec.deadlineS === null
    ? Number.MAX_SAFE_INTEGER
    : request.waitingSince + request.spec.deadlineS * 1000;

/**
 * Sorts requests into the order in which they are placed: the highest priority first, then jobs with a
 * reservation, jobs that may not use spot machines, jobs within their team's guarantee, the fewest missed
 * start targets, the shortest estimate, the earliest deadline, the longest wait, and the job id.
 */
export const inPlacementOrder = (requests: readonly PlacementRequest[]): readonly PlacementRequest[] =>
  [...requests].sort(
    (a, b) =>
      b.spec.priority - a.spec.priority ||
      Number(b.hasReservation) - Number(a.hasReservation) ||
      Number(a.spec.spot) - Number(b.spec.spot) ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      a.missedStartTargets - b.missedStartTargets ||
      a.spec.estimateS - b.spec.estimateS ||
      dueAt(a) - dueAt(b) ||
      a.waitingSince - b.waitingSince ||
      (a.job < b.job ? -1 : 1),
  );
