/**
 * Selects the machines that a request may use, the capacity that it may use on each, and their order. Pure,
 * except that `allocate` subtracts from a machine's capacity. The bin packing calls it for each request of a
 * round.
 */
import { fitsIn, placeAllowed, type Demand, type JobSpec } from '../jobs/model.js';
import type { AvailableCapacity, PlacementRequest } from './placement-model.js';

const subtract = (
  from: { cpus: number; gpus: number; memoryGb: number },
  need: Demand,
  count: number,
): void => {
  from.cpus -= need.cpus * count;
  from.gpus -= need.gpus * count;
  from.memoryGb -= need.memoryGb * count;
};

/** Subtracts the demand of `count` tasks of the request from the capacity of a machine. */
export const allocate = (capacity: AvailableCapacity, request: PlacementRequest, count: number): void => {
  subtract(capacity.free, request.spec, count);
  if (request.hasAlternatives) subtract(capacity.leftover, request.spec, count);
};

/**
 * What work with alternatives may use on machines that are always withheld from spot work: only the leftover
 * capacity, or all that is free.
 */
export type CapacityScope = 'leftover' | 'all';

const isLimitedToLeftover = (
  request: PlacementRequest,
  capacity: AvailableCapacity,
  scope: CapacityScope,
): boolean => scope === 'leftover' && capacity.withheldFromSpotWork === 'always' && request.hasAlternatives;

/** The capacity of a machine that the request may use. */
export const capacityFor = (
  request: PlacementRequest,
  capacity: AvailableCapacity,
  scope: CapacityScope,
): Demand => (isLimitedToLeftover(request, capacity, scope) ? capacity.leftover : capacity.free);

/**
 * MostAllocated score of machines taken together: the mean of the fractions of CPUs, memory and GPUs in use.
 * A resource of which the machines have nothing does not count.
 */
export const utilization = (capacities: readonly AvailableCapacity[]): number => {
  let sum = 0;
  let dimensions = 0;
  for (const field of ['cpus', 'memoryGb', 'gpus'] as const) {
    let total = 0;
    let free = 0;
    for (const capacity of capacities) {
      total += capacity.total[field];
      free += capacity.free[field];
    }
    if (total > 0) {
      sum += (total - free) / total;
      dimensions += 1;
    }
  }
  return dimensions === 0 ? 0 : sum / dimensions;
};

const byId = (a: { id: string }, b: { id: string }): number => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0);

/**
 * Sorts machines, the best first, by these criteria in turn: not withheld from spot work; spot, which is
 * cheaper; has the image of the job; highest utilization; id.
 */
export const bestFirst = (
  capacities: readonly AvailableCapacity[],
  spec: JobSpec,
): readonly AvailableCapacity[] =>
  capacities
    .map((capacity) => ({ capacity, utilization: utilization([capacity]) }))
    .sort(
      (a, b) =>
        Number(a.capacity.withheldFromSpotWork !== 'never') -
          Number(b.capacity.withheldFromSpotWork !== 'never') ||
        Number(b.capacity.spot) - Number(a.capacity.spot) ||
        Number(b.capacity.images.has(spec.image)) - Number(a.capacity.images.has(spec.image)) ||
        b.utilization - a.utilization ||
        byId(a.capacity, b.capacity),
    )
    .map((entry) => entry.capacity);

const isWithheld = (request: PlacementRequest, capacity: AvailableCapacity): boolean => {
  switch (capacity.withheldFromSpotWork) {
    case 'never':
      return !request.mayUseOnDemand;
    case 'lastIdle':
      return !request.mayUseOnDemand || !request.urgency.place;
    case 'always':
      // `capacityFor` allows spot work only the leftover capacity of such a machine. That costs nothing, and
      // the work that depends on the machine type cannot use it.
      return false;
  }
};

/**
 * Whether the machine is reserved for another job of the same or a higher priority, so that the request may
 * not use it. An empty reserved machine is unavailable to all such requests. A reserved on-demand machine in
 * use is unavailable only to work that may use spot machines: that work would fill the machine again and
 * again, and the machine would never become empty.
 */
const isReservedForAnother = (request: PlacementRequest, capacity: AvailableCapacity): boolean =>
  capacity.reservedFor !== null &&
  capacity.reservedFor.job !== request.job &&
  request.spec.priority <= capacity.reservedFor.priority &&
  (capacity.empty || (request.spec.spot && !capacity.spot));

/** The machines that may take at least one task of the request. */
export const usableCapacities = (
  request: PlacementRequest,
  capacities: readonly AvailableCapacity[],
  scope: CapacityScope,
): readonly AvailableCapacity[] =>
  capacities.filter(
    (capacity) =>
      // Most machines are full, so this check comes first.
      fitsIn(request.spec, capacityFor(request, capacity, scope)) &&
      !isReservedForAnother(request, capacity) &&
      placeAllowed(request.spec, capacity) &&
      !(request.spec.spot && !capacity.spot && isWithheld(request, capacity)) &&
      !request.failedOn.has(capacity.id),
  );
