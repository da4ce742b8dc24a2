/**
 * The reservations in force: those of the last scaling plan, with their ages. The leader updates them in each
 * round; the controller announces them to the shards.
 */
import { MAX_RESERVATION_AGE_MS } from '../constants/reservations.js';
import { log } from '../log.js';
import type { Reservation } from './reservation.js';
import type { ShardSummary } from './shard-summary.js';

/** State: the reservations of the last round, and the time of that round. */
export class ActiveReservations {
  private current: readonly Reservation[] = [];
  /** Time of the last round, in ms on the steady clock. */
  private updatedAt = 0;

  constructor(private readonly now: () => number) {}

  /** The reservations with their ages at the last round. */
  get list(): readonly Reservation[] {
    return this.current;
  }

  /** The reservations with their ages at this moment. */
  withCurrentAges(): readonly Reservation[] {
    const elapsedMs = this.now() - this.updatedAt;
    return this.current.map((reservation) => ({ ...reservation, ageMs: reservation.ageMs + elapsedMs }));
  }

  /**
   * Replaces the reservations with those of the plan. Reservations of a shard without a summary remain too,
   * up to their maximum age: a shard whose heartbeats fail briefly does not lose the machines gathered for
   * it.
   */
  update(
    previous: readonly Reservation[],
    planned: readonly Reservation[],
    summaries: readonly ShardSummary[],
  ): void {
    const withoutSummary = previous.filter(
      ({ ageMs, shardId, zone }) =>
        ageMs < MAX_RESERVATION_AGE_MS &&
        !summaries.some((summary) => summary.shardId === shardId) &&
        !planned.some((reservation) => reservation.zone === zone),
    );
    const next = [...planned, ...withoutSummary];
    for (const reservation of next) if (!this.has(reservation)) logReservation(reservation);
    this.current = next;
    this.updatedAt = this.now();
  }

  clear(): void {
    this.current = [];
  }

  private has({ job, zone }: Reservation): boolean {
    return this.current.some((known) => known.job === job && known.zone === zone);
  }
}

const logReservation = (reservation: Reservation): void => {
  log.info({ event: 'reservation.begun', ...reservation });
};
