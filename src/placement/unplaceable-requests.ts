/**
 * Finds requests that need not be tried, since a similar request found no capacity in the same round. Owns
 * the requests of one round that could not be placed; `packRequests` creates one instance per call.
 */
import { fitsIn, type Demand, type JobSpec } from '../jobs/model.js';
import type { PlacementRequest } from './placement-model.js';

/** The constraints that two requests must share to be compared. */
const constraintsKeyOf = (spec: JobSpec): string =>
  [
    spec.kind,
    spec.types?.join('+') ?? '*',
    spec.zone ?? '*',
    spec.oneZone ? 1 : 0,
    spec.spread ? 1 : 0,
    spec.spot ? 1 : 0,
  ].join('|');

/**
 * The requests that could not be placed in this round. A request with the same constraints, priority and
 * urgency that needs as much or more cannot be placed either, since capacities only shrink within a round.
 * Without this check, a round would try each of many jobs whose amounts differ slightly.
 */
export class UnplaceableRequests {
  private readonly failed = new Map<string, { need: Demand; tasks: number }[]>();

  private key(request: PlacementRequest): string {
    return `${constraintsKeyOf(request.spec)}|${request.spec.priority}|${request.mayUseOnDemand}|${request.urgency.place}`;
  }

  add(request: PlacementRequest): void {
    const key = this.key(request);
    const list = this.failed.get(key) ?? [];
    this.failed.set(key, list);
    list.push({ need: request.spec, tasks: request.spec.kind === 'gang' ? request.spec.tasks : 1 });
  }

  /** Whether a comparable request that needs as much or less could not be placed. */
  covers(request: PlacementRequest): boolean {
    const tasks = request.spec.kind === 'gang' ? request.spec.tasks : 1;
    return (this.failed.get(this.key(request)) ?? []).some(
      (known) => tasks >= known.tasks && fitsIn(known.need, request.spec),
    );
  }
}
