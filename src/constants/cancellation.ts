/**
 * Cancellation: how shard holders acknowledge cancellations, and how long cancelled tasks may take to end.
 */

/**
 * Time for which a cancellation waits for other cancellations, so that one request to the shard's
 * holder carries all of them.
 */
export const ACKNOWLEDGEMENT_BATCH_DELAY_MS = 20;
/** Maximum number of cancellations in one such request; it bounds the size of the body. */
export const MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT = 400;
/**
 * Interval at which a holder writes acknowledgements to the key-value store while a peer may be unable to
 * connect to the holder.
 */
export const DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS = 500;
/**
 * Safety margin subtracted from the time for which a holder may answer workers without having read the keys.
 */
export const OUTAGE_GRACE_MARGIN_MS = 5_000;
/**
 * Time before the end of `cancel_s` at which a machine is released if its cancelled task is not proven to
 * have ended.
 */
export const CANCELLED_MACHINE_RELEASE_MARGIN_MS = 10_000;
/**
 * Minimum interval between two direct requests to release machines while the key-value store cannot be
 * written.
 */
export const URGENT_RELEASE_INTERVAL_MS = 2_000;
