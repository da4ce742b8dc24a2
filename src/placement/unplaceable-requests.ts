/**
 * Requests that need not be tried since one alike found no room in the same round. Owns the list of a round;
 * `packRequests` makes one for each.
 */
import { fitsIn, type Demand, type JobSpec } from '../jobs/model.js';
import type { PlacementRequest } from './placement-model.js';

/** What two requests must have in common, amounts aside. */
const placementKindOf = (spec: JobSpec): string =>
  [
    spec.kind,
    spec.types?.join('+') ?? '*',
    spec.zone ?? '*',
    spec.oneZone ? 1 : 0,
    spec.spread ? 1 : 0,
    spec.spot ? 1 : 0,
  ].join('|');

/**
 * What found no room in this round, and with it whatever needs as much or more in the same places: rooms only
 * shrink within a round. Jobs whose amounts differ a little each would otherwise all be tried.
 */
export class UnplaceableRequests {
  private readonly failed = new Map<string, { need: Demand; tasks: number }[]>();

  private key(request: PlacementRequest): string {
    return `${placementKindOf(request.spec)}|${request.spec.priority}|${request.mayUseOnDemand}|${request.urgency.place}`;
  }

  add(request: PlacementRequest): void {
    const key = this.key(request);
    const list = this.failed.get(key) ?? [];
    this.failed.set(key, list);
    list.push({ need: request.spec, tasks: request.spec.kind === 'gang' ? request.spec.tasks : 1 });
  }

  covers(request: PlacementRequest): boolean {
    const tasks = request.spec.kind === 'gang' ? request.spec.tasks : 1;
    return (this.failed.get(this.key(request)) ?? []).some(
      (known) => tasks >= known.tasks && fitsIn(known.need, request.spec),
    );
  }
}
