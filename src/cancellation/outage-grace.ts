/**
 * For how long a holder may answer its workers without renewals while the key-value store is out for all,
 * without missing a cancellation that a user was told of. Pure decision, no state; `docs/design.md` has the
 * proof. The claims ask through `claims/outage-grace.ts`.
 */

/** What is known of an outage. Times are ms, on one steady clock. */
export interface OutageStatus {
  /** The store is down as far as most controllers say. */
  readonly confirmed: boolean;
  /**
   * Every controller says so, and each is known to confirm only cancellations that the holder has
   * acknowledged.
   */
  readonly onlyAcknowledgedConfirmed: boolean;
  /** Up to then this controller surely knows the shared keys. */
  readonly confirmedAt: number;
  /** ms within which the tasks of a cancelled job must be gone. */
  readonly cancellationLimitMs: number;
  /** ms of a worker's lease. */
  readonly workerLeaseMs: number;
  readonly marginMs: number;
}

/**
 * ms, steady: until when a holder may answer its workers; null: there is no outage. It knows all
 * cancellations that were confirmed before `confirmedAt`. Any other was confirmed later, and a worker that it
 * answered last by the time returned stops its tasks a lease after that, which is still in time.
 */
export const outageGraceUntil = (outage: OutageStatus): number | null => {
  if (!outage.confirmed) return null;
  if (outage.onlyAcknowledgedConfirmed) return Number.POSITIVE_INFINITY;
  return outage.confirmedAt + outage.cancellationLimitMs - outage.workerLeaseMs - outage.marginMs;
};
