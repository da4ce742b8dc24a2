/**
 * Decides how long the holder of a shard may answer its workers without renewing its lease during an outage
 * of the key-value store. The limit ensures that the tasks of every cancellation that was confirmed to a user
 * stop in time, even if the holder does not know of the cancellation. A pure function without state;
 * `docs/design.md` has the proof. `claims/outage-grace.ts` calls it.
 */

/** What this controller knows of an outage of the key-value store. Times are in ms on the lease clock. */
export interface OutageStatus {
  /** Whether most controllers, this one included, cannot reach the key-value store. */
  readonly confirmed: boolean;
  /**
   * Whether no controller can reach the store, and each controller is known to confirm only cancellations
   * that the holder has acknowledged.
   */
  readonly onlyAcknowledgedConfirmed: boolean;
  /** This controller certainly knows every change of the shared keys made before this time. */
  readonly confirmedAt: number;
  /** ms within which the tasks of a cancelled job must have stopped. */
  readonly cancellationLimitMs: number;
  /** ms for which a worker's lease lasts. */
  readonly workerLeaseMs: number;
  /** ms by which the holder stops answering early, as a safety margin. */
  readonly marginMs: number;
}

/**
 * Returns the time until which the holder of a shard may answer its workers (ms, lease clock); null: there is
 * no outage. The time is infinite if controllers confirm only cancellations that the holder has acknowledged.
 * Otherwise, the holder knows every cancellation that was confirmed before `confirmedAt`, and any other
 * cancellation was confirmed later. A worker that the holder answers no later than the returned time stops
 * its tasks at most one worker lease after that, which is within the limit for that cancellation.
 */
export const outageGraceUntil = (outage: OutageStatus): number | null => {
  if (!outage.confirmed) return null;
  if (outage.onlyAcknowledgedConfirmed) return Number.POSITIVE_INFINITY;
  return outage.confirmedAt + outage.cancellationLimitMs - outage.workerLeaseMs - outage.marginMs;
};
