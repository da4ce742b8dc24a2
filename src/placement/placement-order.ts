/** The order in which requests are placed. No state. */
import type { PlacementRequest } from './placement-model.js';

/** ms since the epoch. */
const dueAt = (request: PlacementRequest): number =>
  request.spec.deadlineS === null
    ? Number.MAX_SAFE_INTEGER
    : request.waitingSince + request.spec.deadlineS * 1000;

/**
 * Most important first; then what machines are reserved for; then work that has no spot machines to go to;
 * then work within its team's guarantee; then by targets; then the shortest; then by deadline; then the
 * oldest.
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
