/** Cancellation: acknowledgement by a job's holder, and the proof in time that its tasks are gone. */

/** How long cancellations wait for others, to be sent to their holder in one message. */
export const ACKNOWLEDGEMENT_BATCH_DELAY_MS = 20;
/** Cancellations of one such message, for the size of its body. */
export const MAX_CANCELLATIONS_PER_ACKNOWLEDGEMENT = 400;
/** Pause between a holder's durable acknowledgements, which serve where connections are refused. */
export const DURABLE_ACKNOWLEDGEMENT_INTERVAL_MS = 500;
/** Taken off the time for which a holder may answer workers without having read the keys. */
export const OUTAGE_GRACE_MARGIN_MS = 5_000;
/** Time before the end of `cancel_s` at which a machine goes back whose cancelled task isn't proven gone. */
export const CANCELLED_MACHINE_RELEASE_MARGIN_MS = 10_000;
/** Least time between two direct requests to return machines while the store can't be written. */
export const URGENT_RELEASE_INTERVAL_MS = 2_000;
