/**
 * Converts reservations from and to the wire form that heartbeats and relayed orders carry; the names of the
 * fields are fixed. No state.
 */
import type { Reservation } from '../fleet/reservation.js';

/** A reservation on the wire. */
export interface WireReservation {
  readonly share: number;
  readonly job: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly types: readonly string[] | null;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly tasks: number;
  readonly priority: number;
  readonly ageMs: number;
}

/** Converts a reservation to its wire form. */
export const writeReservation = (reservation: Reservation): WireReservation => ({
  share: reservation.shardId,
  job: reservation.job,
  zone: reservation.zone,
  spot: reservation.spot,
  types: reservation.types,
  cpus: reservation.cpus,
  gpus: reservation.gpus,
  memoryGb: reservation.memoryGb,
  tasks: reservation.tasks,
  priority: reservation.priority,
  ageMs: reservation.ageMs,
});

/** Converts a reservation from its wire form. */
export const readReservation = (wire: WireReservation): Reservation => ({
  shardId: wire.share,
  job: wire.job,
  zone: wire.zone,
  spot: wire.spot,
  types: wire.types,
  cpus: wire.cpus,
  gpus: wire.gpus,
  memoryGb: wire.memoryGb,
  tasks: wire.tasks,
  priority: wire.priority,
  ageMs: wire.ageMs,
});
