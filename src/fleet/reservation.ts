/**
 * A reservation: free machines of one zone that are kept for one waiting job. Plain data; the leader decides
 * on reservations, the shards leave reserved machines to the job.
 */
import { fittingTaskCount, typeAllowed, type Demand } from '../jobs/model.js';
import type { MachineKind } from './machine-record.js';

/**
 * Free machines of one zone are gathered for a gang that found no zone with room: whatever comes free there,
 * in whichever shard, goes to the gang's shard and is left alone by work of its priority and below.
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
  /** Age in ms; `MAX_RESERVATION_AGE_MS` bounds it. */
  readonly ageMs: number;
}

/** The reservation that a machine of this kind with these amounts in all belongs to; null: none. */
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
