/**
 * Which machines a request may use, how much of them, and in which order. Pure but for `occupy`, which
 * takes room. The bin packing calls it for each request of a round.
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

/** Takes room on a machine for so many tasks. */
export const allocate = (capacity: AvailableCapacity, request: PlacementRequest, count: number): void => {
  subtract(capacity.free, request.spec, count);
  if (request.hasAlternatives) subtract(capacity.leftover, request.spec, count);
};

/**
 * What work with alternatives may take of machines that are withheld for work without: what that work leaves
 * over, or all that is free.
 */
export type CapacityScope = 'leftover' | 'all';

const isLimitedToLeftover = (
  request: PlacementRequest,
  capacity: AvailableCapacity,
  reach: CapacityScope,
): boolean => reach === 'leftover' && capacity.withheldFromSpotWork === 'always' && request.hasAlternatives;

/** What the request may take of a machine. */
export const capacityFor = (
  request: PlacementRequest,
  capacity: AvailableCapacity,
  reach: CapacityScope,
): Demand => (isLimitedToLeftover(request, capacity, reach) ? capacity.leftover : capacity.free);

/** MostAllocated: the mean fraction in use over CPUs, memory and GPUs (where there are any). */
export const utilization = (capacities: readonly AvailableCapacity[]): number => {
  let sum = 0;
  let parts = 0;
  for (const field of ['cpus', 'memoryGb', 'gpus'] as const) {
    let total = 0;
    let free = 0;
    for (const capacity of capacities) {
      total += capacity.total[field];
      free += capacity.free[field];
    }
    if (total > 0) {
      sum += (total - free) / total;
      parts += 1;
    }
  }
  return parts === 0 ? 0 : sum / parts;
};

const byId = (a: { id: string }, b: { id: string }): number => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0);

/**
 * Best machine first: not one withheld for others, the cheaper kind, with the image, the fullest, by name.
 */
export const bestFirst = (
  capacities: readonly AvailableCapacity[],
  spec: JobSpec,
): readonly AvailableCapacity[] =>
  capacities
    .map((capacity) => ({ capacity, full: utilization([capacity]) }))
    .sort(
      (a, b) =>
        Number(a.capacity.withheldFromSpotWork !== 'never') -
          Number(b.capacity.withheldFromSpotWork !== 'never') ||
        Number(b.capacity.spot) - Number(a.capacity.spot) ||
        Number(b.capacity.images.has(spec.image)) - Number(a.capacity.images.has(spec.image)) ||
        b.full - a.full ||
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
      // What the work that depends on it leaves over costs nothing, and is no use to that work.
      return false;
  }
};

/**
 * What is reserved for another job is left alone: machines that are empty by all, and those in use by work
 * that has spot machines to go to, or they would be filled again and again and never be empty.
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
  reach: CapacityScope,
): readonly AvailableCapacity[] =>
  capacities.filter(
    (capacity) =>
      // Most rooms are full, so this comes first.
      fitsIn(request.spec, capacityFor(request, capacity, reach)) &&
      !isReservedForAnother(request, capacity) &&
      placeAllowed(request.spec, capacity) &&
      !(request.spec.spot && !capacity.spot && isWithheld(request, capacity)) &&
      !request.failedOn.has(capacity.id),
  );
