/**
 * A reservation: free machines of one zone that are kept for one waiting job. Plain data. The leader creates
 * reservations; the shards place no other work of the job's priority or below on reserved machines.
 */
import { fittingTaskCount, typeAllowed, type Demand } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';

/**
 * Free machines of one zone are gathered for a gang for which no zone has enough capacity. Every matching
 * machine that becomes free in the zone, in any shard, is transferred to the gang's shard, and work of the
 * gang's priority or below is not placed on it.
 */
export interface Reservation {
  readonly shardId: number;
  readonly job: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly tasks: number;
  readonly priority: number;
  /** Age in ms; `MAX_RESERVATION_AGE_MS` limits how long the zone is kept for the job. */
  readonly ageMs: number;
}

/** The first reservation that accepts a machine of this kind with these total amounts; null: none. */
export const findReservation = (
  reservations: readonly Reservation[],
  machine: MachineKind & { readonly total: Demand },
): Reservation | null => {
  for (const reservation of reservations) {
    if (reservation.zone !== machine.zone || (machine.spot && !reservation.spot)) continue;
    if (!typeAllowed(reservation, machine.type) || fittingTaskCount(reservation, machine.total, 1) === 0)
      continue;
    return reservation;
  }
  return null;
};
