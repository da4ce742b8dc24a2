/**
 * The reservations in force: what the scaling plan decided last, with their ages. Used by the leader, each
 * round; the controller announces them to the shards.
 */
import { MAX_RESERVATION_AGE_MS } from '../constants/reservations.js';
import { log } from '../log.js';
import type { Reservation } from './reservation.js';
import type { ShardSummary } from './shard-summary.js';

/** State: the reservations of the last round, and when it was. */
export class ActiveReservations {
  private current: readonly Reservation[] = [];
  /** ms, by the steady clock. */
  private updatedAt = 0;

  constructor(private readonly now: () => number) {}

  /** As of the last round, ages included. */
  get list(): readonly Reservation[] {
    return this.current;
  }

  /** The same, as old as they are now. */
  withCurrentAges(): readonly Reservation[] {
    const elapsedMs = this.now() - this.updatedAt;
    return this.current.map((reservation) => ({ ...reservation, ageMs: reservation.ageMs + elapsedMs }));
  }

  /**
   * Takes over what the plan decided. Those of a shard without a summary stay too, within their bound: a
   * shard whose heartbeats fail for a moment does not lose what was gathered for it.
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
    for (const reservation of next) if (!this.has(reservation)) logBegin(reservation);
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

const logBegin = (reservation: Reservation): void => {
  log.info({ event: 'reservation.begun', ...reservation });
};
